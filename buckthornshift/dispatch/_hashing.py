"""Hashes of names that are the same on every instance."""

import hashlib

HASH_BITS = 32


def hash_name(name):
    """Return the 32-bit hash of a name.

    Unlike :func:`hash`, it doesn't depend on the process.

    :param name: the text to hash.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BITS // 8).digest()
    return int.from_bytes(digest)

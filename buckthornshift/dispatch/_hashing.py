"""Numbers that belong to a name at every instance."""

import hashlib

HASH_BITS = 32


def hash_name(name):
    """Return a number of 32 bits for a name, the same in every process.

    :param name: text.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BITS // 8).digest()
    return int.from_bytes(digest)

"""Rendezvous hashing: the same choice at every instance with the same members."""

import xxhash


def compute_weight(key, member):
    """Return the pseudo-random weight of a member for a key.

    :param key: what is placed.
    :param member: a candidate.
    """
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())


def rank_members(key, members):
    """Return the members for a key, best first.

    :param key: what is placed.
    :param members: candidates, in any order.
    """
    return sorted(members, key=lambda member: (-compute_weight(key, member), member))

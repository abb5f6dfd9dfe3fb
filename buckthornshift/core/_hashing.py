"""Rendezvous hashing: instances with equal member lists make equal choices."""

import xxhash


def compute_weight(key, member):
    """Return the pseudo-random weight of a member for a key.

    :param key: key to be assigned to a member.
    :param member: name of the member.
    """
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())


def rank_members(key, members):
    """Return the members by their weights for a key, highest first.

    :param key: key to be assigned to a member.
    :param members: names of the members, in any order.
    """
    return sorted(members, key=lambda member: (-compute_weight(key, member), member))

"""Checks of values in experiment files, shared by all kinds of load."""

from ..contracts import InvalidInputError


def check_choice(value, choices, where):
    """Check that a value is one of the allowed choices.

    :param value: the value to check.
    :param choices: the allowed values.
    :param where: path to the value in its file, for errors.
    :raises InvalidInputError: if the value is not among the choices.
    """
    if value not in choices:
        raise InvalidInputError(
            where=where, got=repr(value), expected=f"one of {', '.join(choices)}"
        )


def check_length_s(length_s, max_length_s, where):
    """Check that the length of a load is positive and not too long.

    :param length_s: the length, in seconds.
    :param max_length_s: the longest length allowed, in seconds.
    :param where: path to the value in its file, for errors.
    :raises InvalidInputError: if the length is out of range.
    """
    if not 0 < length_s <= max_length_s:
        raise InvalidInputError(
            where=where, got=str(length_s), expected=f"above 0, up to {max_length_s:g}"
        )

"""Checks of what experiments declare."""

from ..contracts import InvalidInputError


def check_choice(value, choices, where):
    """Raise unless a value is one of some choices.

    :param value: the value.
    :param choices: the choices.
    :param where: path to the value, for errors.
    :raises InvalidInputError: if it isn't.
    """
    if value not in choices:
        raise InvalidInputError(
            where=where, got=repr(value), expected=f"one of {', '.join(choices)}"
        )


def check_length_s(length_s, most_s, where):
    """Raise unless a length can be run.

    :param length_s: the length, in seconds.
    :param most_s: longest length.
    :param where: path to the value, for errors.
    :raises InvalidInputError: if it is not above 0, or too long.
    """
    if not 0 < length_s <= most_s:
        raise InvalidInputError(
            where=where, got=str(length_s), expected=f"above 0, up to {most_s:g}"
        )

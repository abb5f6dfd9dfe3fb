"""JSON with comments: the format of settings, catalogues and experiments."""

import json5

from ..contracts import InvalidInputError


def parse_json_with_comments(text, where):
    """Decode JSON with comments.

    :param text: text of the document.
    :param where: name of the file, for error messages.
    :raises InvalidInputError: if there is a syntax error, with its line, or a
        duplicate key.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise InvalidInputError(
            where=where, got=str(error), expected="JSON with comments"
        ) from error


def read_text(path):
    """Return the text of a UTF-8 file.

    :param path: path of the file.
    :raises InvalidInputError: if the file cannot be read or decoded.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError(
            where=str(path), got=str(error), expected="a readable text file"
        ) from error

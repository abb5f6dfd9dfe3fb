"""Files of results: JSON, checked when read."""

import msgspec

from ..contracts import InvalidInputError, convert_value
from ..documents import read_text


def read_result_file(path, result_class):
    """Return the results in a file.

    :param path: path of a JSON result file.
    :param result_class: class of each result.
    :raises InvalidInputError: if it is no such file.
    """
    try:
        value = msgspec.json.decode(read_text(path))
    except msgspec.DecodeError as error:
        raise InvalidInputError(
            where=str(path), got=str(error), expected="a JSON result file"
        ) from error
    return convert_value(value, tuple[result_class, ...], str(path))


def write_result_file(path, results):
    """Write results to a file that people can read, too.

    :param path: path of the file.
    :param results: list of results.
    """
    body = msgspec.json.format(msgspec.json.encode(results))
    with open(path, "wb") as file:
        file.write(body + b"\n")

"""Result files: JSON that is validated when it is read."""

import msgspec

from ..contracts import InvalidInputError, convert_value
from ..documents import read_text


def read_result_file(path, result_class):
    """Return the results in a file.

    :param path: path of a JSON result file.
    :param result_class: class of each result.
    :raises InvalidInputError: if the file does not hold results of this class.
    """
    try:
        value = msgspec.json.decode(read_text(path))
    except msgspec.DecodeError as error:
        raise InvalidInputError(
            where=str(path), got=str(error), expected="a JSON result file"
        ) from error
    return convert_value(value, tuple[result_class, ...], str(path))


def write_result_file(path, results):
    """Write results to a file as indented JSON.

    :param path: path of the file.
    :param results: list of results.
    """
    body = msgspec.json.format(msgspec.json.encode(results))
    with open(path, "wb") as file:
        file.write(body + b"\n")

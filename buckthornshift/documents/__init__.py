"""Documents that operators write: JSON with comments, catalogues."""

from ._catalogue import (
    MAX_NAME_CHARS,
    check_catalogue,
    parse_catalogue,
    render_change,
)
from ._json_with_comments import (
    parse_json_with_comments,
    read_text,
)

__all__ = [
    "MAX_NAME_CHARS",
    "check_catalogue",
    "parse_catalogue",
    "parse_json_with_comments",
    "read_text",
    "render_change",
]

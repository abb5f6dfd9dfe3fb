"""Errors of requests over a network connection."""

from ._errors import BuckthornshiftError


class NotSentError(BuckthornshiftError):
    """The request certainly did not reach the server, so a retry is safe."""


class ConnectionLostError(BuckthornshiftError):
    """The connection was lost after bytes were sent; the outcome is unknown."""

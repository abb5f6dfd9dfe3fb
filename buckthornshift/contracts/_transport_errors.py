"""Errors of requests over a network connection."""

from ._errors import BuckthornshiftError


class NotSentError(BuckthornshiftError):
    """The request was certainly not sent, so that a retry cannot duplicate it."""


class ConnectionLostError(BuckthornshiftError):
    """The connection was lost after bytes were sent; the outcome is unknown."""

"""How an exchange over a connection can fail."""

from ._errors import BuckthornshiftError


class NotSentError(BuckthornshiftError):
    """The request certainly did not reach the other end."""


class ConnectionLostError(BuckthornshiftError):
    """The connection ended after bytes were sent: the outcome is open."""

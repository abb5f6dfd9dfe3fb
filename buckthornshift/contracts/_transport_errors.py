"""Errors of requests over a network connection."""

from ._errors import BuckthornshiftError


class NotSentError(BuckthornshiftError):
    """The request certainly did not reach the server, so a retry is safe."""


class ConnectionLostError(BuckthornshiftError):
    """The connection was lost after bytes were sent; the outcome is unknown."""


class PeerRefusedError(NotSentError):
    """The connection was refused: no process listens there, or a partition refuses."""


class PeerClosedError(ConnectionLostError):
    """The other end closed the connection in order, without a complete response.

    Its machine closes the connections of a process that ends. A connection that a
    partition cuts is reset or stays silent.
    """

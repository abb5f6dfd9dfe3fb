"""Asyncio tasks that own the sockets: callers, backend servers, platform, peers."""

from ._backend_link import BackendLink
from ._caller_server import CallerServer
from ._http_connection import (
    ConnectionLostError,
    HttpConnection,
    HttpPool,
    HttpStatusError,
    NotSentError,
    send_request,
)
from ._peer_link import PeerLink, PeerServer
from ._platform_link import LINK_ERRORS, InstanceListLink, LogLink
from ._web_server import PortInUseError, WebServer, make_app

__all__ = [
    "LINK_ERRORS",
    "BackendLink",
    "CallerServer",
    "ConnectionLostError",
    "HttpConnection",
    "HttpPool",
    "HttpStatusError",
    "InstanceListLink",
    "LogLink",
    "NotSentError",
    "PortInUseError",
    "PeerLink",
    "PeerServer",
    "WebServer",
    "send_request",
    "make_app",
]

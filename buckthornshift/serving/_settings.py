"""Settings of a dispatching instance: one checked schema, JSON with comments."""

import os
import random
import time

import attrs

from ..contracts import InvalidInputError, check_unknown_keys, convert_value
from ..dispatch import DispatchIdentity, DispatchSettings
from ..documents import parse_json_with_comments

INCARNATION_BITS = 48


@attrs.frozen(kw_only=True)
class ServingSettings:
    """Settings of one dispatching instance. Addresses are ``host:port``.

    :param name: name for people.
    :param zone: availability zone.
    :param callers: address for callers.
    :param readiness: address at which the balancer asks for readiness.
    :param peers: address at which other instances reach this one.
    :param listen_peers: address to listen at for them; empty for that of ``peers``.
    :param metrics: address for metrics and the state dump; empty for none.
    :param store: address of the platform's store.
    :param seeds: addresses of some other instances; may be stale.
    :param cpu_share: part of a core that the instance may use.
    :param cores: speed of that core, as a multiple of an ordinary one.
    :param log_lines_per_s: lines a second that the log may take; what is above is
        counted and dropped.
    :param dispatch: parameters of the decisions.
    """

    name: str = "dispatcher-1"
    zone: str = "zone-a"
    callers: str = "127.0.0.1:8161"
    readiness: str = "127.0.0.1:8167"
    peers: str = "127.0.0.1:8166"
    listen_peers: str = ""
    metrics: str = ""
    store: str = "127.0.0.1:8169"
    seeds: tuple[str, ...] = ()
    cpu_share: float = 1.0
    cores: float = 1.0
    log_lines_per_s: float = 2_000.0
    dispatch: DispatchSettings = DispatchSettings()


def parse_serving_settings(text, where="settings"):
    """Return checked settings.

    :param text: JSON with comments.
    :param where: name of the file, for errors.
    :raises InvalidInputError: at the first value that does not fit.
    """
    document = parse_json_with_comments(text, where)
    check_unknown_keys(document, ServingSettings, where)
    settings = convert_value(document, ServingSettings, where)
    for name in ("callers", "readiness", "peers", "store"):
        check_address(getattr(settings, name), f"{where}.{name}")
    if settings.listen_peers:
        check_address(settings.listen_peers, f"{where}.listen_peers")
    return settings


def check_address(address, where):
    """Raise unless a text is ``host:port``.

    :param address: the text.
    :param where: name of the parameter, for errors.
    :raises InvalidInputError: if it isn't.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidInputError(where=where, got=repr(address), expected="host:port")


def split_address(address):
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def make_identity(settings, random_state=None):
    """Return the identity of a new process.

    :param settings: the :class:`ServingSettings`.
    :param random_state: a :class:`random.Random`; ``None`` for the system's.
    """
    random_state = random_state or random.SystemRandom()
    return DispatchIdentity(
        address=settings.peers,
        incarnation=random_state.getrandbits(INCARNATION_BITS),
        name=settings.name,
        zone=settings.zone,
        born_ms=int(time.time() * 1000.0),
        power=round(settings.cpu_share * settings.cores, 2),
    )


def read_monotonic_ms():
    """Return a steady time that goes on while the machine is suspended, in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def read_wall_ms():
    """Return the time of day in milliseconds since the epoch."""
    return time.time() * 1000.0


def find_settings_path(path=None):
    """Return the path of the settings file: the argument or the environment's.

    :param path: path from the command line, or ``None``.
    :raises InvalidInputError: if neither is there.
    """
    path = path or os.environ.get("BUCKTHORNSHIFT_CONFIG")
    if not path:
        raise InvalidInputError(
            where="settings",
            got="no path",
            expected="an argument or BUCKTHORNSHIFT_CONFIG",
        )
    return path

"""Settings of a dispatching instance: a validated schema, JSON with comments."""

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

    :param name: human-readable name of the instance.
    :param zone: availability zone.
    :param callers: address to listen at for callers.
    :param readiness: address of the readiness check of the load balancer.
    :param peers: address at which other instances reach this one.
    :param listen_peers: address to listen at for other instances; empty if it is the
        same as ``peers``.
    :param metrics: address to serve metrics and the state dump at; empty for none.
    :param store: address of the platform's store.
    :param seeds: addresses of some other instances to contact first; may be stale.
    :param cpu_share: share of a core that the instance may use.
    :param cores: speed of that core, as a multiple of a standard core.
    :param link_mbps: bandwidth of the instance's link, in Mbit/s; 0 if unknown.
    :param log_lines_per_s: rate limit of the log in lines per second; lines above it
        are dropped and counted.
    :param dispatch: parameters of the dispatch core.
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
    link_mbps: float = 0.0
    log_lines_per_s: float = 2_000.0
    dispatch: DispatchSettings = DispatchSettings()


def parse_serving_settings(text, where="settings"):
    """Parse and validate settings.

    :param text: JSON with comments.
    :param where: name of the file, for error messages.
    :raises InvalidInputError: if a value is invalid or a key is unknown.
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
    """Check that an address has the form ``host:port``.

    :param address: the address.
    :param where: name of the setting, for error messages.
    :raises InvalidInputError: if it has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidInputError(where=where, got=repr(address), expected="host:port")


def split_address(address):
    """Split ``host:port`` into the host and the port number.

    :param address: a valid address.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def compute_power(settings):
    """Return the number of cores that an instance may use.

    :param settings: the :class:`ServingSettings`.
    """
    return round(settings.cpu_share * settings.cores, 2)


def make_identity(settings, random_state=None):
    """Return the identity of a new process, with a random incarnation number.

    :param settings: the :class:`ServingSettings`.
    :param random_state: a :class:`random.Random`; ``None`` for
        :class:`random.SystemRandom`.
    """
    random_state = random_state or random.SystemRandom()
    return DispatchIdentity(
        address=settings.peers,
        incarnation=random_state.getrandbits(INCARNATION_BITS),
        name=settings.name,
        zone=settings.zone,
        born_ms=int(time.time() * 1000.0),
        power=compute_power(settings),
        link_mbps=settings.link_mbps,
    )


def read_monotonic_ms():
    """Return a monotonic time in ms that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def read_wall_ms():
    """Return the wall-clock time in milliseconds since the Unix epoch."""
    return time.time() * 1000.0


def find_settings_path(path=None):
    """Return the path of the settings file.

    :param path: path from the command line; ``None`` for that in the environment
        variable ``BUCKTHORNSHIFT_CONFIG``.
    :raises InvalidInputError: if there is neither.
    """
    path = path or os.environ.get("BUCKTHORNSHIFT_CONFIG")
    if not path:
        raise InvalidInputError(
            where="settings",
            got="no path",
            expected="an argument or BUCKTHORNSHIFT_CONFIG",
        )
    return path

"""Settings of an entry instance: schema, parser and validation."""

import attrs

from ..contracts import InvalidInputError, check_unknown_keys, convert_value
from ..core import CoreSettings
from ..documents import parse_json_with_comments


@attrs.frozen(kw_only=True)
class Address:
    """Network address: an IP address and a TCP port.

    :param host: IP address.
    :param port: TCP port; 0 for any free one.
    """

    host: str = "127.0.0.1"
    port: int = 0


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of one entry instance.

    :param instance_id: name of the instance, unique in the system.
    :param zone: availability zone of the instance.
    :param callers: address for callers and operators (HTTP).
    :param peers: address for other entry instances (gRPC).
    :param platform: address of the platform's log and instance list.
    :param log_file: file for structured logs; ``-`` for standard error, empty for
        none.
    :param random_seed: seed of the instance's random state; -1 draws one from the
        operating system.
    :param core: settings of scheduling, retries, limits and the claims log.
    """

    instance_id: str = "entry-1"
    zone: str = "zone-a"
    callers: Address = Address()
    peers: Address = Address()
    platform: Address = Address()
    log_file: str = ""
    random_seed: int = -1
    core: CoreSettings = CoreSettings()


_SECTIONS = {
    "callers": Address,
    "peers": Address,
    "platform": Address,
    "core": CoreSettings,
}


def parse_settings(text, where="settings"):
    """Parse and validate the settings of an entry instance.

    :param text: JSON with comments.
    :param where: name of the file, for error messages.
    :returns: the :class:`EntrySettings`.
    :raises InvalidInputError: if a key is unknown or its value is invalid; with the
        key, the value found and the values accepted.
    """
    value = parse_json_with_comments(text, where)
    check_unknown_keys(value, EntrySettings, where)
    for name, cls in _SECTIONS.items():
        section = value.get(name) if isinstance(value, dict) else None
        check_unknown_keys(section, cls, f"{where}.{name}")
    if isinstance(value, dict) and isinstance(value.get("core"), dict):
        _check_no_policy(value["core"], where)
    settings = convert_value(value, EntrySettings, where)
    check_settings(settings, where)
    return settings


def check_settings(settings, where="settings"):
    """Raise if a value is out of range.

    :param settings: an :class:`EntrySettings`.
    :param where: name of the file, for error messages.
    :raises InvalidInputError: with the key, the value found and the values accepted.
    """
    if not settings.instance_id:
        raise InvalidInputError(
            where=f"{where}.instance_id", got="an empty name", expected="a name"
        )
    for name in ("callers", "peers", "platform"):
        port = getattr(settings, name).port
        if not 0 <= port <= 65_535:
            raise InvalidInputError(
                where=f"{where}.{name}.port", got=str(port), expected="0 to 65535"
            )
    _check_core(settings.core, f"{where}.core")


def _check_core(core, where):
    for field in attrs.fields(CoreSettings):
        value = getattr(core, field.name)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and value < 0:
            raise InvalidInputError(
                where=f"{where}.{field.name}", got=str(value), expected="0 or more"
            )
    if core.log_appends_per_s <= 0:
        raise InvalidInputError(
            where=f"{where}.log_appends_per_s", got="0", expected="more than 0"
        )
    for name in ("deadline_margin", "max_ejected_fraction"):
        value = getattr(core, name)
        if not 0 < value <= 1:
            raise InvalidInputError(
                where=f"{where}.{name}", got=str(value), expected="above 0, up to 1"
            )


def _check_no_policy(core, where):
    if "policy" in core:
        raise InvalidInputError(
            where=f"{where}.core.policy",
            got="a value",
            expected="no value; policies other than the default are for experiments",
        )

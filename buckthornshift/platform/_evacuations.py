"""Keys by which operators evacuate availability zones, in the operators' topic.

The key of a zone exists while the zone is evacuated, whatever its value is.
"""

from ._store import MAX_KEY_BYTES

EVACUATION_KEY_PREFIX = "evacuate/"
EVACUATION_DOCUMENT = b"{}"


def make_evacuation_key(zone):
    """Return the key that evacuates a zone.

    :param zone: name of the zone.
    :raises ValueError: if the name is empty or too long for a key.
    """
    key = EVACUATION_KEY_PREFIX + zone
    if not zone or len(key.encode()) > MAX_KEY_BYTES:
        max_bytes = MAX_KEY_BYTES - len(EVACUATION_KEY_PREFIX)
        raise ValueError(f"a zone has a name of 1 to {max_bytes} bytes")
    return key


def decode_evacuated_zone(key):
    """Return the zone that a key evacuates, or ``None`` for another key.

    :param key: key of a record of the operators' topic.
    """
    return key.removeprefix(EVACUATION_KEY_PREFIX) if _is_evacuation(key) else None


def _is_evacuation(key):
    return key.startswith(EVACUATION_KEY_PREFIX) and key != EVACUATION_KEY_PREFIX


class EvacuatedZones:
    """The set of evacuated zones, built from the records of the operators' topic."""

    def __init__(self):
        self._zones = set()

    def apply(self, batch):
        """Apply records, oldest first, and return whether the set has changed.

        :param batch: a :class:`KeyedBatch`.
        """
        former = self.list()
        for record in batch.records:
            zone = decode_evacuated_zone(record.key)
            if zone is None:
                continue
            if record.value:
                self._zones.add(zone)
            else:
                self._zones.discard(zone)
        return self.list() != former

    def list(self):
        """Return the zones in alphabetical order."""
        return tuple(sorted(self._zones))

"""Job identifiers: UUID version 7 (RFC 9562), which carry their creation time."""

import uuid

_TIMESTAMP_SHIFT = 80


def parse_job_id_timestamp_ms(job_id):
    """Return the creation time in a job id.

    :param job_id: text of a UUID version 7.
    :returns: milliseconds since the epoch, or ``None`` if it is no such id.
    """
    try:
        value = uuid.UUID(job_id)
    except (ValueError, AttributeError, TypeError):
        return None
    if value.version != 7 or str(value) != job_id:
        return None
    return value.int >> _TIMESTAMP_SHIFT


def make_job_id(now_ms, random_state):
    """Make a job id from a given time and random state.

    :param now_ms: milliseconds since the epoch.
    :param random_state: a :class:`random.Random`.
    :returns: text of a UUID version 7.
    """
    value = int(now_ms) << _TIMESTAMP_SHIFT
    value |= 0x7 << 76
    value |= random_state.getrandbits(12) << 64
    value |= 0x2 << 62
    value |= random_state.getrandbits(62)
    return str(uuid.UUID(int=value))

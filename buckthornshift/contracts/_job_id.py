"""Job ids: UUIDs of version 7 (RFC 9562), which contain their creation time."""

import uuid

_TIMESTAMP_SHIFT = 80


def parse_job_id_timestamp_ms(job_id):
    """Return the creation time that a job id contains.

    :param job_id: UUID of version 7 in its canonical text form.
    :returns: milliseconds since the epoch, or ``None`` if the id is not valid.
    """
    try:
        value = uuid.UUID(job_id)
    except (ValueError, AttributeError, TypeError):
        return None
    if value.version != 7 or str(value) != job_id:
        return None
    return value.int >> _TIMESTAMP_SHIFT


def make_job_id(now_ms, random_state):
    """Return a new job id.

    :param now_ms: creation time, in milliseconds since the epoch.
    :param random_state: a :class:`random.Random`.
    :returns: UUID of version 7 in its canonical text form.
    """
    value = int(now_ms) << _TIMESTAMP_SHIFT
    value |= 0x7 << 76
    value |= random_state.getrandbits(12) << 64
    value |= 0x2 << 62
    value |= random_state.getrandbits(62)
    return str(uuid.UUID(int=value))

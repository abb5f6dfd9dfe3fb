"""The platform's names, formats and calls. It decides nothing."""

from ._documents import (
    JobSubmission,
    UnreadableError,
    decode_configuration,
    decode_job,
    decode_server,
)
from ._job_responses import (
    DEADLINE_HEADER,
    encode_error,
    encode_outcome,
    encode_queue_length,
    encode_state,
)
from ._server_protocol import (
    HOLD_PATH,
    INCARNATION_HEADER,
    START_PATH,
    STOP_PATH,
    decode_server_response,
    encode_hold,
    encode_start,
    encode_stop,
)
from ._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    INSTANCES_TOPIC,
    SERVERS_TOPIC,
    HistoryGoneError,
    KeyedBatch,
    KeyedRecord,
    StoreClient,
    StoreError,
    StoreErrorKind,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "DEADLINE_HEADER",
    "HOLD_PATH",
    "INCARNATION_HEADER",
    "INSTANCES_TOPIC",
    "SERVERS_TOPIC",
    "START_PATH",
    "STOP_PATH",
    "HistoryGoneError",
    "JobSubmission",
    "KeyedBatch",
    "KeyedRecord",
    "StoreClient",
    "StoreError",
    "StoreTrouble",
    "UnreadableError",
    "decode_answer",
    "decode_configuration",
    "decode_job",
    "decode_server",
    "encode_error",
    "encode_hold",
    "encode_outcome",
    "encode_start",
    "encode_state",
    "encode_stop",
    "encode_waiting",
]

"""Adapter to the platform: its wire names, document formats and the store client.

It holds no dispatching logic.
"""

from ._documents import (
    JobSubmission,
    UnreadableError,
    decode_configuration,
    decode_job,
    decode_server,
)
from ._evacuations import (
    EVACUATION_DOCUMENT,
    EvacuatedZones,
    make_evacuation_key,
)
from ._job_responses import (
    DEADLINE_HEADER,
    encode_error,
    encode_outcome,
    encode_queue_length,
    encode_state,
)
from ._server_protocol import (
    INCARNATION_HEADER,
    LEASE_RENEWAL_PATH,
    START_PATH,
    STOP_PATH,
    decode_server_response,
    encode_lease_renewal,
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
    "EVACUATION_DOCUMENT",
    "INCARNATION_HEADER",
    "INSTANCES_TOPIC",
    "LEASE_RENEWAL_PATH",
    "SERVERS_TOPIC",
    "START_PATH",
    "STOP_PATH",
    "EvacuatedZones",
    "HistoryGoneError",
    "JobSubmission",
    "KeyedBatch",
    "KeyedRecord",
    "StoreClient",
    "StoreError",
    "StoreErrorKind",
    "UnreadableError",
    "decode_configuration",
    "decode_job",
    "decode_server",
    "decode_server_response",
    "encode_error",
    "encode_lease_renewal",
    "encode_outcome",
    "encode_queue_length",
    "encode_start",
    "encode_state",
    "encode_stop",
    "make_evacuation_key",
]

"""Clients of the system, for callers and for operators."""

from ._client import (
    ANSWER_GRACE_S,
    JSON_HEADERS,
    RESUBMISSION_HEADERS,
    RESUBMIT_DELAY_S,
    CallerClient,
    ClientCounts,
    NoAnswerError,
    encode_job,
)
from ._operator import (
    POLL_INTERVAL_S,
    VERDICT_TIMEOUT_S,
    CatalogueIncompleteError,
    InstanceCataloguePosition,
    OperatorClient,
    PlatformUnreachableError,
    VerdictUnknownError,
)

__all__ = [
    "ANSWER_GRACE_S",
    "CallerClient",
    "CatalogueIncompleteError",
    "ClientCounts",
    "InstanceCataloguePosition",
    "JSON_HEADERS",
    "NoAnswerError",
    "OperatorClient",
    "POLL_INTERVAL_S",
    "PlatformUnreachableError",
    "RESUBMISSION_HEADERS",
    "RESUBMIT_DELAY_S",
    "VERDICT_TIMEOUT_S",
    "VerdictUnknownError",
    "encode_job",
]

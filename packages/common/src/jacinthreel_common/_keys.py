"""Keys of the project's rows in the table service.

Other transactions use the versions of the configuration row and the epoch rows as conditions, so
these rows are written only when the configuration or the owner changes.  Lease renewals are
therefore written to a separate row, which is not a condition of other writes.
"""

from __future__ import annotations

from typing import Final

CONFIG_KEY: Final = "config/current"
CONFIG_HISTORY_PREFIX: Final = "config/history/"


def config_history_key(version: int) -> str:
    """Returns the key of a past configuration version; keys sort in version order."""
    return f"{CONFIG_HISTORY_PREFIX}{version:012d}"


def epoch_key(shard: str) -> str:
    """Returns the key of the row that holds a shard's epoch and owner."""
    return f"shard/{shard}/epoch"


def lease_key(shard: str) -> str:
    """Returns the key of the row that a shard's owner writes when it renews its lease."""
    return f"shard/{shard}/lease"


def job_prefix(shard: str) -> str:
    """Returns the common key prefix of a shard's job rows."""
    return f"job/{shard}/"


def job_key(shard: str, job_id: str) -> str:
    """Returns the key of a job's row."""
    return f"{job_prefix(shard)}{job_id}"


def request_key(workspace: str, request_id: str) -> str:
    """Returns the key of the row that claims the id of a non-idempotent request."""
    return f"request/{workspace}/{request_id}"

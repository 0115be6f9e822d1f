"""Keys of the rows that the project keeps in the table service.

The configuration row and the epoch rows are conditions of other writes, so they change only
when what they stand for changes; renewals of a shard's lease go to a row of their own.
"""

from __future__ import annotations

from typing import Final

CONFIG_KEY: Final = "config/current"
CONFIG_HISTORY_PREFIX: Final = "config/history/"


def config_history_key(version: int) -> str:
    """The row that keeps one version of the configuration; sorts by version."""
    return f"{CONFIG_HISTORY_PREFIX}{version:012d}"


def epoch_key(shard: str) -> str:
    """The row that holds a shard's epoch and owner."""
    return f"shard/{shard}/epoch"


def lease_key(shard: str) -> str:
    """The row that an owner renews."""
    return f"shard/{shard}/lease"


def job_prefix(shard: str) -> str:
    """The prefix of the rows of a shard's jobs."""
    return f"job/{shard}/"


def job_key(shard: str, job_id: str) -> str:
    """The row of one job."""
    return f"{job_prefix(shard)}{job_id}"


def request_key(workspace: str, request_id: str) -> str:
    """The row that claims a non-idempotent request id."""
    return f"request/{workspace}/{request_id}"

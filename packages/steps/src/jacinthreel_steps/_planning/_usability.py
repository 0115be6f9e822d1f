"""Whether an executor takes new tasks, and why not."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from jacinthreel_steps._tables import Executor, Tables

MIN_AVOID_MS: Final = 1_500
MIN_RETRY_MS: Final = 300
MAX_REPORT_AGE_MS: Final = 1_400  # An executor whose last report is older gets no new tasks.


class Exclusion(StrEnum):
    """Why an executor takes no new tasks; the `PREFERENCES` only if nothing else is why."""

    UNLISTED = "not listed"
    UNREPORTED = "no report"
    OTHER_ENTRY = "entry of another process"
    DRAINING = "draining"
    UNGRANTED = "no lease may be granted yet"
    CLOSED = "closed for a trial"
    OUTDATED = "registry not read"
    ZONE = "zone out of service"
    AVOIDED = "avoided"
    SLOW = "slow"
    SILENT = "silent"


PREFERENCES: Final = frozenset({Exclusion.AVOIDED, Exclusion.SLOW, Exclusion.CLOSED})
"""The exclusions of executors that could run tasks: they don't hold for overdue jobs."""


def exclusion_of(
    tables: Tables, executor: Executor, now_ms: int, max_report_age_ms: int
) -> Exclusion | None:
    """Returns why an executor takes no new tasks now, None if it does."""
    if not executor.is_listed:
        return Exclusion.UNLISTED
    if not executor.life.has_reported:
        return Exclusion.UNREPORTED
    if not executor.is_entry_current:
        return Exclusion.OTHER_ENTRY
    if executor.listing.is_draining:
        return Exclusion.DRAINING
    if executor.awaits_grant:
        return Exclusion.UNGRANTED
    if tables.is_capacity_outdated(executor, now_ms):
        return Exclusion.OUTDATED
    if executor.listing.zone in tables.policy.zones_out_of_service:
        return Exclusion.ZONE
    if now_ms - executor.last_report_ms > max_report_age_ms:
        return Exclusion.SILENT
    if executor.health.avoid_until_ms > now_ms:
        return Exclusion.AVOIDED
    if executor.health.slow_until_ms > now_ms:
        return Exclusion.SLOW
    if executor.is_closed:
        return Exclusion.CLOSED
    return None


def may_be_tried(executor: Executor, now_ms: int) -> bool:
    """Whether an avoided executor takes a task that has waited too long for others.

    Not for some time after the last failure, refusal or stall there: it would only be repeated.
    """
    return now_ms - executor.health.avoided_ms >= MIN_AVOID_MS


def may_be_tried_in_need(executor: Executor, now_ms: int) -> bool:
    """The same for a task that has no other choice left, at a pace that the executor can bear."""
    return now_ms - executor.health.avoided_ms >= MIN_RETRY_MS

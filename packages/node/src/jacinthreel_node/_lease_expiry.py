"""The log line that tells why the runs of an executor out of reach are taken as ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jacinthreel_node._former_leases import FormerLeases
from jacinthreel_steps import Executor, run_name


@dataclass(frozen=True, slots=True)
class ExpiredLeases:
    """The local times by which all leases at an executor have ended, by who granted them.

    `own_end_ms` is that of the leases of the current link, `others_end_ms` that of earlier links,
    relays and incarnations.  Earlier owners are in `FormerLeases`.
    """

    executor: Executor
    own_end_ms: int
    others_end_ms: int


def log_expiry(
    expired: ExpiredLeases,
    former_leases: FormerLeases,
    now_ms: int,
    log: Callable[[str, dict[str, Any]], None],
) -> None:
    """Logs the bounds that have passed; does nothing for an executor without runs."""
    executor = expired.executor
    if not executor.runs_by_task:
        return
    executor_id = executor.executor_id
    fields = {
        "executor": executor_id,
        "runs": [run_name(run.run_id) for run in executor.runs_by_task.values()],
        "own_ended_ms_ago": now_ms - expired.own_end_ms,
        "others_ended_ms_ago": now_ms - expired.others_end_ms,
        "former_ended_ms_ago": now_ms - former_leases.end_ms(executor_id),
        "former_source": former_leases.source_of(executor_id),
        "silent_ms": now_ms - executor.last_report_ms,
    }
    log("leases_expired", fields)

"""Builds the log lines that record a router's decisions."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from jacinthreel_common import Config, ResultCode
from jacinthreel_requests._effects import Answered, LogDecision, Outcome
from jacinthreel_requests._events import RequestArrived
from jacinthreel_requests._executor_choice import Choice
from jacinthreel_requests._health import HealthChange
from jacinthreel_requests._tables import RequestEntry


def route_line(
    entry: RequestEntry, choice: Choice, config: Config | None, queued: int, now_ms: int
) -> LogDecision:
    """Returns the line for a request that was sent to an executor."""
    fields = _request_fields(entry, config, queued)
    fields["reason"] = choice.reason
    fields["candidates"] = choice.candidates
    fields["executor"] = choice.executor.executor_id
    fields["attempt"] = entry.attempts
    fields["waited_ms"] = now_ms - entry.arrived_ms
    return LogDecision("route", fields)


def answer_line(
    entry: RequestEntry,
    outcome: Outcome,
    reason: str,
    config: Config | None,
    queued: int,
    now_ms: int,
) -> LogDecision:
    """Returns the line for the final answer to an admitted request."""
    fields = _request_fields(entry, config, queued)
    fields["outcome"] = type(outcome).__name__
    fields["code"] = ResultCode.OK if isinstance(outcome, Answered) else outcome.code
    fields["reason"] = reason
    fields["took_ms"] = now_ms - entry.arrived_ms
    return LogDecision("answer", fields)


def refusal_line(
    event: RequestArrived, code: ResultCode, detail: str, config: Config | None, queued: int
) -> LogDecision:
    """Returns the line for a request that was refused on arrival."""
    fields = _request_fields(event, config, queued)
    fields["code"] = code
    fields["reason"] = detail
    return LogDecision("refuse", fields)


def health_line(change: HealthChange) -> LogDecision:
    """Returns the line for an executor that was ejected, put on trial or returned to service."""
    return LogDecision("executor_health", asdict(change))


def _request_fields(
    request: RequestEntry | RequestArrived, config: Config | None, queued: int
) -> dict[str, Any]:
    return {
        "request": request.request_id,
        "workspace": request.workspace,
        "config_version": config.version if config else None,
        "queued": queued,
    }

"""Decides from a forecast whether a submitted job is refused, and when its caller should retry.

A job is refused only if its result would come later than three objectives, even if work is done
`OPTIMISM` times as fast as estimated.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._admission._forecast import (
    OPTIMISM,
    Forecast,
    PredictedStart,
    accelerators_at_once,
    needs_one_rack,
    rank_of,
)
from jacinthreel_steps._model import JobSpec, QueueTerms
from jacinthreel_steps._planning._job_order import (
    USELESS_AFTER_OBJECTIVES,
    longest_chain_ms,
    objective_ms,
)

MIN_RETRY_MS: Final = 1_000
MAX_RETRY_MS: Final = 15_000  # Before the spread, which at most doubles it.
MIN_SPREAD_MS: Final = 4_000  # Retry-After has whole seconds; less spread gives too few values.


@dataclass(frozen=True, slots=True)
class Refusal:
    """The inputs that led to a refusal; times are counted from the submission.

    `limit_ms` is when a result becomes useless, `result_ms` the earliest time of the result.
    """

    start_ms: int
    result_ms: int
    limit_ms: int
    drain_ms: int
    accelerators: int
    free_accelerators: int
    rank: int


@dataclass(frozen=True, slots=True)
class _Request:
    """What a submitted job needs before its first task can start."""

    service: str
    rank: int
    accelerators: int
    wants_one_rack: bool


def find_refusal(
    forecast: Forecast, age_ms: int, queue: QueueTerms, workspace: str, spec: JobSpec
) -> Refusal | None:
    """Returns why a job would certainly be too late, or None if it is not refused."""
    is_over_share = workspace in forecast.over_share_workspaces
    request = _make_request(queue, spec, is_over_share)
    objective = objective_ms(spec, queue)
    if request is None or objective <= 0:
        return None
    guarantee_left = forecast.guarantee_left_by_workspace.get(workspace, 0)
    if queue.priority == 0 and request.accelerators <= guarantee_left:
        return None
    chain_ms = longest_chain_ms(spec, lambda step: step.estimate_ms)
    predicted = _find_start(forecast, request, queue, objective - chain_ms + age_ms)
    if predicted is None or request.accelerators <= predicted.free_accelerators:
        return None
    start_ms = max(0, predicted.start_ms - age_ms)
    result_ms = start_ms + chain_ms / OPTIMISM
    limit_ms = USELESS_AFTER_OBJECTIVES * objective
    if result_ms <= limit_ms:
        return None
    return Refusal(
        start_ms,
        round(result_ms),
        round(limit_ms),
        predicted.drain_ms,
        request.accelerators,
        predicted.free_accelerators,
        request.rank,
    )


def retry_after_ms(refusal: Refusal, job_id: str) -> int:
    """Returns the time in ms until the backlog is small enough for the job to be accepted.

    The time is spread by a hash of the job id, so that refused callers don't retry together.
    """
    excess_ms = OPTIMISM * (refusal.result_ms - refusal.limit_ms)
    delay_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, min(excess_ms, refusal.drain_ms)))
    spread = zlib.crc32(job_id.encode()) / 2**32
    return round(delay_ms + spread * max(MIN_SPREAD_MS, delay_ms))


def _make_request(queue: QueueTerms, spec: JobSpec, is_over_share: bool) -> _Request | None:
    """Returns the smallest need of a first step, or None if one needs no accelerators."""
    roots = [step for step in spec.steps if not step.after]
    accelerators = min((accelerators_at_once(step) for step in roots), default=0)
    if not accelerators:
        return None
    wants_one_rack = all(needs_one_rack(step) for step in roots)
    return _Request(queue.service, rank_of(queue, is_over_share), accelerators, wants_one_rack)


def _find_start(
    forecast: Forecast, request: _Request, queue: QueueTerms, slack_ms: float
) -> PredictedStart | None:
    """Returns the start to expect; None if the job may still start within `slack_ms`.

    Below priority 0, a job that can still be in time goes before late ones of its rank, so that
    the work of its rank is ahead only if the ranks before already make the job late.
    """
    if queue.priority > 0:
        before = _find_latest_start(forecast, request, request.rank - 1)
        if before is None or before.start_ms <= slack_ms:
            return None
    return _find_latest_start(forecast, request, request.rank)


def _find_latest_start(
    forecast: Forecast, request: _Request, max_rank: int
) -> PredictedStart | None:
    """Returns the latest start predicted for the request at ranks up to `max_rank`.

    Each prediction that applies is a lower bound, so the latest one is used.
    """
    latest: PredictedStart | None = None
    for predicted in forecast.starts:
        if predicted.service != request.service or predicted.rank > max_rank:
            continue
        if predicted.accelerators > request.accelerators:
            continue
        if predicted.wants_one_rack and not request.wants_one_rack:
            continue
        if latest is None or predicted.start_ms > latest.start_ms:
            latest = predicted
    return latest

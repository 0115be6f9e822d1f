"""Predicts the earliest start of a new job from the backlog of its service.

By the time at which the last task ahead of the new job starts, all work is done except that of the
tasks then running, which is at most the work of the longest tasks that fill the capacity once.  So
the work less that amount, divided by the capacity, bounds the start from below.  Waiting jobs whose
result would be useless at their predicted start are skipped, because the planner skips them too.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import groupby
from typing import Final

from jacinthreel_steps._admission._backlog import (
    LENGTH_UNIT_MS,
    RunningLoad,
    ServiceBacklog,
    WaitingStep,
    collect_backlogs,
)
from jacinthreel_steps._admission._forecast import (
    OPTIMISM,
    RANKS_PER_PRIORITY,
    Forecast,
    PredictedStart,
)
from jacinthreel_steps._context import Context
from jacinthreel_steps._planning._pass_state import count_used_accelerators
from jacinthreel_steps._tables import Tables

MIN_GAIN: Final = 1.1  # Predictions less than 10 % later than a more general one are left out.
MIN_START_MS: Final = 500  # Earlier starts are left out: they cause no refusals.


@dataclass(frozen=True, slots=True)
class _Load:
    """The running work, and the most work that can be unfinished when the last task starts."""

    running_work: float
    unfinished_work: float


@dataclass(frozen=True, slots=True)
class _SizeClass:
    """New jobs that need at least `accelerators` at once."""

    accelerators: int
    wants_one_rack: bool

    def is_behind(self, step: WaitingStep) -> bool:
        """Whether a new job of this class can't start on less capacity than a waiting step."""
        if step.needs_one_rack and not self.wants_one_rack:
            return False
        return step.accelerators_at_once <= self.accelerators


def forecast_starts(context: Context, over_share: frozenset[str], now_ms: int) -> Forecast | None:
    """Returns the forecast for jobs submitted now, or None if no job would have to wait.

    `over_share` holds the workspaces whose jobs are scheduled after others of their priority.
    """
    starts: list[PredictedStart] = []
    min_wait_ms = OPTIMISM * MIN_START_MS
    for service, backlog in collect_backlogs(context, over_share, min_wait_ms, now_ms).items():
        starts.extend(_predict_service(service, backlog))
    if not starts:
        return None
    has_urgent = any(_is_urgent(predicted.rank) for predicted in starts)
    guarantee_left = _find_unused_guarantees(context.tables) if has_urgent else {}
    return Forecast(_remove_redundant(starts), guarantee_left, sorted(over_share))


def _remove_redundant(starts: list[PredictedStart]) -> list[PredictedStart]:
    """Returns the predictions that are clearly later than all more general ones."""
    kept: list[PredictedStart] = []
    for start in sorted(starts, key=_generality_key):
        general = [other.start_ms for other in kept if other.applies_to(start)]
        if start.start_ms >= MIN_GAIN * max(general, default=0):
            kept.append(start)
    return kept


def _generality_key(start: PredictedStart) -> tuple[bool, int, int]:
    return (start.wants_one_rack, start.rank, start.accelerators)


def _predict_service(service: str, backlog: ServiceBacklog) -> list[PredictedStart]:
    urgent_steps = [step for step in backlog.waiting if _is_urgent(step.rank)]
    urgent_load = _make_load([backlog.urgent], urgent_steps, backlog.capacity)
    all_runs = [backlog.urgent, backlog.other]
    other_load = _make_load(all_runs, backlog.waiting, backlog.capacity)
    starts: list[PredictedStart] = []
    for size_class in _find_size_classes(backlog.waiting):
        steps = [step for step in backlog.waiting if size_class.is_behind(step)]
        ahead_work = total_work = 0
        for rank, group in groupby(steps, key=lambda step: step.rank):
            load = urgent_load if _is_urgent(rank) else other_load
            for step in group:
                total_work += step.work
                if _earliest_start_ms(load, ahead_work, backlog.capacity) <= step.useless_in_ms:
                    ahead_work += step.work
            start_ms = _earliest_start_ms(load, ahead_work, backlog.capacity)
            if start_ms < MIN_START_MS:
                continue
            drain_ms = (load.running_work + total_work) / backlog.capacity
            free = backlog.free_urgent if _is_urgent(rank) else backlog.free
            starts.append(
                PredictedStart(
                    service,
                    rank,
                    size_class.accelerators,
                    size_class.wants_one_rack,
                    int(start_ms),
                    int(drain_ms),
                    free,
                )
            )
    return starts


def _is_urgent(rank: int) -> bool:
    return rank < RANKS_PER_PRIORITY


def _find_size_classes(steps: list[WaitingStep]) -> list[_SizeClass]:
    """Returns a class for each power of two that bounds the size of a step."""
    sizes = sorted({1 << (step.accelerators_at_once - 1).bit_length() for step in steps})
    classes = [_SizeClass(size, False) for size in sizes]
    if any(step.needs_one_rack for step in steps):
        classes.extend(_SizeClass(size, True) for size in sizes)
    return classes


def _make_load(running: list[RunningLoad], steps: list[WaitingStep], capacity: int) -> _Load:
    by_length: dict[int, int] = {}
    for load in running:
        for length, accelerators in load.accelerators_by_length.items():
            by_length[length] = by_length.get(length, 0) + accelerators
    for step in steps:
        length = step.estimate_ms // LENGTH_UNIT_MS + 1
        by_length[length] = by_length.get(length, 0) + step.accelerators
    unfinished_work = 0
    left = capacity
    for length in sorted(by_length, reverse=True):
        used = min(left, by_length[length])
        unfinished_work += length * LENGTH_UNIT_MS * used
        left -= used
        if left <= 0:
            break
    return _Load(sum(load.work for load in running), unfinished_work)


def _earliest_start_ms(load: _Load, ahead_work: int, capacity: int) -> float:
    """Returns the earliest start of a task that is scheduled after `ahead_work`."""
    work = load.running_work + ahead_work - load.unfinished_work
    return max(0.0, work) / (OPTIMISM * capacity)


def _find_unused_guarantees(tables: Tables) -> dict[str, int]:
    used = count_used_accelerators(tables)
    guaranteed = tables.policy.guaranteed_accelerators_by_workspace
    left = {key: amount - used.get(key, 0) for key, amount in guaranteed.items()}
    return {key: amount for key, amount in left.items() if amount > 0}

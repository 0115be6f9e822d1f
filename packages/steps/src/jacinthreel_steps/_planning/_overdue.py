"""What an overdue job may use: the one place that says so.

A job is overdue once it could have run for `PREFERENCE_LIMIT_MS` and nothing of it is at work, in a
service that is mostly unused with room for it twice over (`_waiting_jobs`).  Then no preference
keeps it waiting, whatever its cause: it may use each executor that is able to run it, as far as
capacity, the quota of its workspace, labels, limits per executor and leases allow.  An exclusion
that is a preference has to be within `Reach.ALL`; one that isn't must not be a preference.

The reaches are tried one after the other, so that it takes what harms others least: executors
that it doesn't prefer itself, then room that is reserved for others and that it leaves in time,
then any reserved room, then executors that are closed for a trial, then everything.

On reserved room it is a guest of the job that the room is reserved for (`_guests`).
"""

from __future__ import annotations

from collections.abc import Iterator

from jacinthreel_steps._planning._pass_state import PassState, Reach, ServiceSlots
from jacinthreel_steps._planning._placement import Candidate
from jacinthreel_steps._planning._reservation_choice import predicted_end_ms
from jacinthreel_steps._tables import Executor, Job, Step


def overdue_slots(
    state: PassState, job: Job, step: Step, avoids_failures: bool
) -> Iterator[ServiceSlots]:
    """Yields the slots that an overdue job may use, those that harm others least first.

    Executors that have just failed come last, and later; so do avoided ones if the next failure
    would be the last one of the job.
    """
    service, table = job.queue.service, state.context.reservations
    waiting_jobs = state.context.waiting_jobs
    yield state.slots_within(service, Reach.USABLE)
    yield state.slots_within(service, Reach.SLOW)
    if not avoids_failures:
        yield state.slots_within(service, Reach.AVOIDED)
    all_ids = table.job_ids(service)
    if all_ids:
        run_ms = step.spec.estimate_ms
        yield state.shared_slots(
            service, table.job_ids_open_to_overdue(service, run_ms, state.now_ms)
        )
        all_ids = table.job_ids_open_to_guests(service, state.now_ms)
        yield state.shared_slots(service, all_ids)
    if state.context.tables.closed_executor_ids:
        yield state.slots_within(service, Reach.CLOSED)
        yield state.shared_slots(service, all_ids, Reach.CLOSED)
    if waiting_jobs.may_risk_last_attempt(job, state.now_ms):
        yield state.shared_slots(service, all_ids, Reach.ALL)


def choose_for_overdue(
    state: PassState, step: Step, slots: ServiceSlots, candidates: list[Candidate]
) -> list[Candidate]:
    """Returns the best of the candidates for a task of an overdue job that has taken these slots.

    Of avoided executors, the one that has failed least recently, so that each has its turn.
    """
    fitting = [each for each in candidates if each.count_fitting(step.spec.shape) >= 1]
    if not fitting:
        return candidates
    if slots.is_last_resort:
        oldest_ms = min(each.executor.health.avoided_ms for each in fitting)
        fitting = [each for each in fitting if each.executor.health.avoided_ms == oldest_ms]
    return _choose_least_delaying(state, step, fitting) if slots.opens_reserved else fitting


def _choose_least_delaying(
    state: PassState, step: Step, fitting: list[Candidate]
) -> list[Candidate]:
    """Returns the candidates on which a task keeps reserved room from its holder for least longer.

    A task that ends before the runs beside it takes nothing more from the holder, and later guests
    share the executors that earlier ones took.
    """
    end_ms = state.now_ms + step.spec.estimate_ms
    added_ms = [max(0, end_ms - _busy_until_ms(state, each.executor)) for each in fitting]
    least_ms = min(added_ms)
    return [each for each, added in zip(fitting, added_ms, strict=True) if added == least_ms]


def _busy_until_ms(state: PassState, executor: Executor) -> int:
    tables = state.context.tables
    ends = (predicted_end_ms(tables, run, state.now_ms) for run in executor.runs_by_task.values())
    return max(ends, default=state.now_ms)

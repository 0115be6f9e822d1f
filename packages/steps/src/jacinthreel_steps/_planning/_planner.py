"""One scheduling pass: places tasks and preempts runs for jobs of priority 0.

Phases: claims whose capacity has become free are placed; then, in job order, each step that is
ready is placed where it fits.  Jobs of priority 0 that don't fit claim capacity: runs of lower
priority are preempted for them, and, for a job within its workspace's guarantee, also runs of
priority 0 of other workspaces that use more than their guarantee.

Tasks that would bring their workspace above its quota are not placed (`_workspaces`).

A pass ends early once its budget is spent, because the process renews its lease and serves callers
between passes; the next pass begins with the first job again.  Only what is placed uses up budget,
so each pass gets further than the last one.  A gang is placed whole, whatever is left.

Invariants: a gang is placed as a whole or not at all; a task that has a run is not placed; claimed
capacity counts as used, so that no other job takes the capacity that was freed for a claim.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._crash_evidence import has_suspects
from jacinthreel_steps._executors._executor_health import is_suspect
from jacinthreel_steps._model import NO_RESOURCES, Resources, StepSpec
from jacinthreel_steps._planning._claims import (
    claimed_tasks,
    place_or_release_claims,
    preempt_and_claim,
    release_claims,
)
from jacinthreel_steps._planning._guests import (
    evict_guests,
    find_evictable,
    mark_guests,
    open_shared_executors,
    sum_by_executor,
)
from jacinthreel_steps._planning._job_order import job_sort_key
from jacinthreel_steps._planning._long_waits import log_long_waits
from jacinthreel_steps._planning._overdue import choose_for_overdue, overdue_slots
from jacinthreel_steps._planning._pass_state import (
    PassState,
    Reach,
    ServiceSlots,
    count_used_accelerators,
)
from jacinthreel_steps._planning._placement import (
    Candidate,
    Placement,
    find_candidates,
    find_usable_executors,
    fits_on_empty_rack,
    place_gang,
    place_independent_tasks,
    widen_by_trust,
)
from jacinthreel_steps._planning._preemption import plan_preemption
from jacinthreel_steps._planning._reservations import release_reservation, update_reservations
from jacinthreel_steps._planning._run_creation import place_tasks
from jacinthreel_steps._planning._slot_index import Room, SlotIndex
from jacinthreel_steps._planning._start_limits import count_start_slots, count_start_slots_of_step
from jacinthreel_steps._planning._trials import schedule_trials, update_closed_executors
from jacinthreel_steps._planning._usability import MAX_REPORT_AGE_MS
from jacinthreel_steps._planning._victims import Victim, VictimIndex
from jacinthreel_steps._planning._waiting_jobs import PREFERENCE_LIMIT_MS, Hold
from jacinthreel_steps._tables import Executor, Job, Run, RunState, Step, Task
from jacinthreel_steps._workspaces._fair_order import make_shares, schedule_in_fair_order
from jacinthreel_steps._workspaces._quota_preemption import find_quota_victims
from jacinthreel_steps._workspaces._quotas import count_admitted

ALL_COMPARED: Final = 400  # Up to so many executors, all are compared for each step;
SELECTED_EXECUTORS: Final = 200  # of more, so many, and others only if these lack room.
ROOM_TO_CHOOSE: Final = 2
RACK_WAIT_MARGIN_MS: Final = 1_000  # Beyond a stop; then gangs of priority 0 may span racks.


def plan(context: Context, now_ms: int) -> bool:
    """Places tasks that fit, and claims capacity for those of priority 0 that don't.

    Returns whether the pass ended early, so that there may be more to place.
    """
    context.waiting_jobs.begin_pass()
    place_or_release_claims(context, now_ms)
    update_closed_executors(context.tables)
    jobs = [job for job in context.tables.open_jobs_by_id.values() if job.may_be_planned(now_ms)]
    usable = find_usable_executors(context.tables, now_ms, MAX_REPORT_AGE_MS)
    update_reservations(context, usable, now_ms)
    shares = make_shares(context, usable, jobs)
    state = PassState(
        context,
        usable,
        now_ms,
        count_used_accelerators(context.tables),
        VictimIndex(context.tables, context.stop_limit_ms, now_ms, shares),
        shares,
        suspect_addresses=context.executor_losses.suspect_addresses(now_ms),
        start_slots=count_start_slots(context.tables),
    )
    ordered = sorted(jobs, key=lambda job: job_sort_key(job, now_ms))
    state.due_jobs = [job for job in ordered if context.waiting_jobs.is_due(job, now_ms)]
    state.reserved_jobs = _find_reserved_jobs(context)
    if context.tables.policy.quota_by_workspace or shares is not None:
        schedule_in_fair_order(state, ordered, _schedule_job)
    else:
        for job in ordered:
            _schedule_job(state, job)
    context.held_jobs.finish_pass(context.tables, context.usage, context.log, now_ms)
    context.waiting_jobs.check(context.tables, context.log, now_ms)
    log_long_waits(state)
    return state.budget <= 0


def _find_reserved_jobs(context: Context) -> list[Job]:
    """Returns the open jobs with reservations, in the order in which these were made."""
    open_jobs_by_id = context.tables.open_jobs_by_id
    return [open_jobs_by_id[key] for key in context.reservations.by_job if key in open_jobs_by_id]


def _schedule_job(state: PassState, job: Job) -> None:
    if job.queue.priority > 0:
        _schedule_waiting_jobs(state)
    _schedule_steps(state, job)


def _schedule_waiting_jobs(state: PassState) -> None:
    """Places the jobs that have waited too long, once in a pass, after those of priority 0."""
    reserved_jobs, state.reserved_jobs = state.reserved_jobs, []
    for job in reserved_jobs:
        _place_reserved_job(state, job)
    due_jobs, state.due_jobs = state.due_jobs, []
    for job in due_jobs:
        _place_first_task(state, job)


def _place_reserved_job(state: PassState, job: Job) -> None:
    """Places a gang of a job with a reservation, or a task of another step, and releases that."""
    if any(step.spec.is_gang and job.pending_tasks(step) for step in job.steps):
        _schedule_steps(state, job)
    else:
        _place_first_task(state, job)
    if job.live_runs():
        release_reservation(state.context, job.job_id, state.now_ms)
    else:
        _evict_guests(state, job)


def _evict_guests(state: PassState, job: Job) -> None:
    """Preempts the guests on the room of a job with a reservation if it fits without them."""
    reservation = state.context.reservations.by_job[job.job_id]
    step = job.steps[reservation.step_index]
    pending = job.pending_tasks(step)
    guests = find_evictable(state, job, reservation) if pending else {}
    if not guests:
        return
    tasks = pending if step.spec.is_gang else pending[:1]
    admitted = _admitted_tasks(state, job, step, tasks)
    own_id = frozenset({job.job_id})
    slots = state.slots_without(reservation.service, own_id, sum_by_executor(guests))
    placement = _find_placement(state, job, step, admitted, slots) if admitted else None
    if placement:
        evict_guests(state, job, step, guests, placement)


def _schedule_steps(state: PassState, job: Job) -> None:
    for step in job.steps:
        if state.budget <= 0:
            state.context.waiting_jobs.note(job, Hold.PASS_ENDED)
            return
        claimed = claimed_tasks(job, step)
        if claimed:
            _place_claimed_elsewhere(state, job, step, claimed)
        pending = job.pending_tasks(step)
        if pending and not step.spec.is_gang:
            pending = pending[: _count_allowed(state, job, step)]
            if not pending:
                state.context.waiting_jobs.note(job, Hold.START_LIMIT)
        if pending:
            pending = schedule_trials(state, job, step, pending)
            if pending:
                _schedule_step(state, job, step, pending)


def _place_first_task(state: PassState, job: Job) -> None:
    """Places a task of a job that could run and has none at work, if one fits where it prefers.

    Capacity that becomes free then goes to such jobs before jobs that run get more of it, and few
    of them become overdue and use what is reserved.  The task is started however many starts wait.
    """
    has_reservation = job.job_id in state.context.reservations.by_job
    if state.budget <= 0 or (job.queue.priority == 0 and not has_reservation):
        return
    if any(_is_starting_or_at_work(run, state.now_ms) for run in job.live_runs()):
        return
    for step in job.steps:
        pending = job.pending_tasks(step)
        if not pending or step.spec.is_gang or _waits_for_trial(step, has_reservation):
            continue
        admitted = _admitted_tasks(state, job, step, pending[:1])
        slots = state.slots_for(job)
        placement = _find_placement(state, job, step, admitted, slots) if admitted else None
        if placement:
            place_tasks(state, job, step, placement)
            state.start_slots = max(0, state.start_slots - 1)
            return


def _waits_for_trial(step: Step, has_reservation: bool) -> bool:
    """Whether trials decide where a step runs, or may do so for one without a reservation."""
    if has_reservation:
        return has_suspects(step)
    return any(task.crash_record for task in step.tasks)


def _count_allowed(state: PassState, job: Job, step: Step) -> int:
    """Returns how many tasks of a step may be placed in this pass; not for gangs."""
    allowed = min(state.budget, count_start_slots_of_step(step))
    if job.queue.priority == 0:
        return allowed
    return min(allowed, max(state.start_slots, state.is_overdue(job)))


def _schedule_step(state: PassState, job: Job, step: Step, pending: list[Task]) -> None:
    """Places the pending tasks that fit; claims capacity for the others if the priority is 0.

    Tasks that the quota of the workspace does not admit are left out, unless runs of the workspace
    are preempted for them.
    """
    queue = job.queue
    admitted = _admitted_tasks(state, job, step, pending)
    is_accepted = job.announced_ms is None
    may_claim = queue.priority == 0 and is_accepted and job.job_id not in state.best_effort_ids
    if not admitted and not may_claim:
        state.context.held_jobs.add(job, step)
        state.context.waiting_jobs.note(job, Hold.QUOTA)
        return
    slots = state.slots_for(job)
    placement = _find_placement(state, job, step, admitted, slots) if admitted else None
    wider_slots = None if placement else _wider_slots(state, job, step, admitted or pending)
    if wider_slots is not None and admitted:
        placement = _find_placement(state, job, step, admitted, wider_slots)
    if not placement and admitted and _is_within_guarantee(state, job, step, len(admitted)):
        placement = _find_on_closed_executors(state, job, step, admitted)
    is_guest = False
    if not placement and admitted and state.is_overdue(job):
        placement, is_guest = _find_less_preferred(state, job, step, admitted)
    if placement:
        place_tasks(state, job, step, placement)
        open_shared_executors(state, job, placement)
        if is_guest:
            mark_guests(state, job, placement)
        if not step.spec.is_gang and queue.priority > 0:
            state.start_slots -= len(placement)
        placed = {task.task_id for task, _ in placement}
        pending = [task for task in pending if task.task_id not in placed]
        admitted = [task for task in admitted if task.task_id not in placed]
    if not placement:
        hold = _find_hold(state, job, step, admitted, slots)
        state.context.waiting_jobs.note(job, hold)
    if not slots.free.executors:
        return
    if (
        may_claim
        and len(admitted) < len(pending)
        and _preempt_own_runs(state, job, step, pending, wider_slots or slots)
    ):
        return
    if admitted and may_claim:
        is_claimed = _claim_by_preemption(state, job, step, admitted, slots)
        if not is_claimed and wider_slots is not None:
            _claim_by_preemption(state, job, step, admitted, wider_slots)
    elif pending and not admitted:
        state.context.held_jobs.add(job, step)


def _wider_slots(
    state: PassState, job: Job, step: Step, pending: list[Task]
) -> ServiceSlots | None:
    """Returns the slots of an urgent job that has to wait otherwise, None if there are no others.

    They include room that is reserved for other jobs.
    """
    service = job.queue.service
    if job.queue.priority > 0 or not state.held_room(service):
        return None
    table = state.context.reservations
    if _is_within_guarantee(state, job, step, len(pending)):
        return state.shared_slots(service, table.job_ids(service))
    return state.shared_slots(service, table.job_ids_open_to_urgent(service, state.now_ms))


def _find_less_preferred(
    state: PassState, job: Job, step: Step, pending: list[Task]
) -> tuple[Placement | None, bool]:
    """Returns executors for an overdue job among those that it does not prefer.

    A gang takes what it needs; of other steps a single task is placed, so that the job makes
    progress and most of what is reserved stays free for urgent jobs.  The second value is whether
    the executors were found with the help of room that is reserved for other jobs.
    """
    if any(_is_starting_or_at_work(run, state.now_ms) for run in job.live_runs()):
        return None, False
    tasks = pending if step.spec.is_gang else pending[:1]
    for slots in overdue_slots(state, job, step, not _has_spare_attempt(job, tasks)):
        placement = _find_placement(state, job, step, tasks, slots)
        if placement:
            return placement, slots.opens_reserved
    return None, False


def _find_on_closed_executors(
    state: PassState, job: Job, step: Step, pending: list[Task]
) -> Placement | None:
    """Returns executors for an urgent job within its guarantee, also closed or reserved ones."""
    if job.queue.priority > 0 or not state.context.tables.closed_executor_ids:
        return None
    service = job.queue.service
    all_ids = state.context.reservations.job_ids(service)
    slots = state.shared_slots(service, all_ids, Reach.CLOSED)
    return _find_placement(state, job, step, pending, slots)


def _has_spare_attempt(job: Job, tasks: list[Task]) -> bool:
    """Whether the job goes on after one more failure: an avoided executor may fail each run."""
    return all(task.failures + 1 < job.queue.max_attempts for task in tasks)


def _is_starting_or_at_work(run: Run, now_ms: int) -> bool:
    """Whether the run is at work, or may be so soon: a start that takes long may never succeed."""
    return run.state is RunState.RUNNING or now_ms - run.placed_ms < PREFERENCE_LIMIT_MS


def _find_hold(
    state: PassState, job: Job, step: Step, admitted: list[Task], slots: ServiceSlots
) -> Hold:
    """Returns what kept tasks from being placed; `admitted` are those within the quota."""
    if not admitted:
        return Hold.QUOTA
    spec = step.spec
    needed = len(admitted) if spec.is_gang else 1
    if _count_slots(slots.free, spec) >= needed:
        return Hold.NO_RACK if spec.is_gang and spec.wants_one_rack else Hold.NO_ROOM
    service = job.queue.service
    usable, excluded = state.slots_within(service, Reach.USABLE), state.excluded_slots(service)
    has_failures = service in state.usable.services_with_failures
    if not state.executors_within(service, Reach.ALL):
        return Hold.EXCLUDED if has_failures else Hold.NO_EXECUTOR
    count = _count_slots(usable.free, spec)
    if count >= needed:
        return Hold.RESERVED
    all_ids = state.context.reservations.job_ids(service)
    if all_ids:
        open_slots = state.shared_slots(service, all_ids)
        if _count_slots(open_slots.free, spec) >= needed:
            return Hold.RESERVED_FOR_OTHERS
    if has_failures or count + _count_slots(excluded, spec) >= needed:
        return Hold.EXCLUDED
    has_closed = bool(state.context.tables.closed_executor_ids)
    if not all_ids and not has_closed and not state.usable.failed_by_service.get(service):
        return Hold.NO_ROOM
    all_slots = state.shared_slots(service, all_ids, Reach.ALL)
    if _count_slots(all_slots.free, spec) < needed:
        return Hold.NO_ROOM
    return Hold.CLOSED if has_closed else Hold.EXCLUDED


def _count_slots(index: SlotIndex, spec: StepSpec) -> int:
    """Returns how many tasks of a step fit, with its limit per executor."""
    free = index.slots(spec.required_label, spec.shape)
    if not spec.max_per_executor:
        return free.total
    return sum(min(count, spec.max_per_executor) for count in free.by_executor_id.values())


def _admitted_tasks(state: PassState, job: Job, step: Step, pending: list[Task]) -> list[Task]:
    """Returns the tasks that the workspace's quota admits; of a gang, all or none."""
    kept = state.context.reservations.quota_kept_from(job)
    own_claims = NO_RESOURCES.minus(kept)
    count = count_admitted(state.context, job.record.workspace, step.spec.shape, own_claims)
    if step.spec.is_gang and count < len(pending):
        return []
    return pending[:count] if count < len(pending) else pending


def _find_placement(
    state: PassState, job: Job, step: Step, pending: list[Task], slots: ServiceSlots
) -> Placement | None:
    """Returns executors for the tasks that fit into free capacity; for a gang, for all or none."""
    spec = step.spec
    free = slots.free.slots(spec.required_label, spec.shape)
    needed = len(pending) if spec.is_gang else 1
    if free.total < needed:
        return None
    is_urgent = job.queue.priority == 0
    may_span_racks = spec.wants_one_rack and _may_span_racks(state, job, step, slots)
    if spec.wants_one_rack and free.widest_rack < needed and not may_span_racks:
        return None
    selected = _select_candidates(state, job, step, pending, slots)
    if selected is not None:
        placement = _place_among(step, pending, selected, is_urgent)
        if placement is not None and len(placement) == len(pending):
            state.compared_count = len(selected)
            return placement
    candidates = _candidates(state, job, step, slots)
    if spec.is_gang and slots.is_last_resort:
        placement = _place_gang_by_failures(step, pending, candidates, is_urgent)
    else:
        placement = _place_among(step, pending, candidates, is_urgent)
    if placement is None and may_span_racks:
        spread = place_independent_tasks(step, pending, candidates, is_urgent)
        placement = spread if len(spread) == len(pending) else None
    return placement


def _place_gang_by_failures(
    step: Step, pending: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    """Places a gang where executors have failed least recently.

    One that fails or refuses each start then gives way to others that may be no better.
    """
    for limit_ms in sorted({each.executor.health.avoided_ms for each in candidates}):
        chosen = [each for each in candidates if each.executor.health.avoided_ms <= limit_ms]
        placement = place_gang(step, pending, chosen, is_urgent)
        if placement is not None:
            return placement
    return None


def _place_among(
    step: Step, pending: list[Task], candidates: list[Candidate], is_urgent: bool
) -> Placement | None:
    if step.spec.is_gang:
        return place_gang(step, pending, candidates, is_urgent)
    return place_independent_tasks(step, pending, candidates, is_urgent)


def _select_candidates(
    state: PassState, job: Job, step: Step, pending: list[Task], slots: ServiceSlots
) -> list[Candidate] | None:
    """Returns enough of the candidates to place the tasks well, None if all are to be compared.

    With thousands of executors, comparing all of them for each step would leave each pass time for
    a few steps only.
    """
    spec = step.spec
    if slots.is_last_resort or slots.opens_reserved:
        return None
    fitting_count = len(slots.free.slots(spec.required_label, spec.shape).by_executor_id)
    if fitting_count <= ALL_COMPARED or spec.max_per_executor or step.avoids_executors():
        return None
    room = Room(
        SELECTED_EXECUTORS,
        ROOM_TO_CHOOSE * len(pending),
        len(pending) if spec.wants_one_rack else 0,
        spec.rack_near_data,
    )

    def is_preferred(executor: Executor) -> bool:
        return (
            not executor.is_closed
            and executor.listing.address not in state.suspect_addresses
            and not is_suspect(executor, state.now_ms)
        )

    executors = slots.free.select_fitting(spec.required_label, spec.shape, room, is_preferred)
    if len(executors) == fitting_count:
        return None
    max_attempts = job.queue.max_attempts
    return find_candidates(
        step, executors, max_attempts, state.now_ms, state.suspect_addresses, slots.held
    )


def _place_claimed_elsewhere(state: PassState, job: Job, step: Step, claimed: list[Task]) -> None:
    """Places tasks that wait for claimed capacity where capacity has become free meanwhile."""
    shape = step.spec.shape
    own_claims = shape.times(len(claimed))
    admitted = count_admitted(state.context, job.record.workspace, shape, own_claims)
    if admitted < len(claimed):
        claimed = [] if step.spec.is_gang else claimed[:admitted]
    if not claimed:
        return
    placement = _find_placement(state, job, step, claimed, state.slots_for(job))
    if placement:
        release_claims(state, job, [task for task, _ in placement])
        place_tasks(state, job, step, placement)


def _candidates(state: PassState, job: Job, step: Step, slots: ServiceSlots) -> list[Candidate]:
    """Returns the candidates for a step on which at least one task fits now."""
    spec = step.spec
    executors = slots.free.fitting_executors(spec.required_label, spec.shape)
    candidates = find_candidates(
        step,
        executors,
        job.queue.max_attempts,
        state.now_ms,
        state.suspect_addresses,
        slots.held,
        state.is_overdue(job),
        slots.includes_closed,
    )
    if not spec.is_gang and state.is_overdue(job):
        return choose_for_overdue(state, step, slots, candidates)
    return candidates


def _may_span_racks(state: PassState, job: Job, step: Step, slots: ServiceSlots) -> bool:
    """Whether a gang that wants one rack may be placed on several.

    It may if no rack could hold it even when empty, if it has priority 0 and has waited for more
    than the time of a stop and `RACK_WAIT_MARGIN_MS`, or if it is overdue: small tasks may come and
    go without ever leaving a rack free.
    """
    waited_ms = state.now_ms - job.accepted_ms
    wait_limit_ms = state.context.stop_limit_ms + RACK_WAIT_MARGIN_MS
    if job.queue.priority == 0 and waited_ms > wait_limit_ms:
        return True
    if state.is_overdue(job) or _has_room_on_racks(state, job):
        return True
    if step.spec.max_per_executor:
        return not fits_on_empty_rack(step, slots.free.executors, len(step.tasks))
    empty = slots.empty.slots(step.spec.required_label, step.spec.shape)
    return empty.widest_rack < len(step.tasks)


def _has_room_on_racks(state: PassState, job: Job) -> bool:
    """Whether room on several racks is reserved for the job: it didn't fit on one."""
    reservation = state.context.reservations.by_job.get(job.job_id)
    if reservation is None:
        return False
    executors_by_id = state.context.tables.executors_by_id
    executors = [executors_by_id.get(key) for key in reservation.count_by_executor]
    return len({each.listing.rack for each in executors if each is not None}) > 1


def _preempt_own_runs(
    state: PassState, job: Job, step: Step, pending: list[Task], slots: ServiceSlots
) -> bool:
    """Claims for a job of priority 0 whose workspace fills its quota with runs of lower priority.

    Returns whether the tasks were claimed.
    """
    quota_victims = find_quota_victims(state, job.record.workspace, step.spec.shape, len(pending))
    if quota_victims is None:
        return False
    return _claim_by_preemption(state, job, step, pending, slots, quota_victims)


def _claim_by_preemption(
    state: PassState,
    job: Job,
    step: Step,
    pending: list[Task],
    slots: ServiceSlots,
    chosen: Sequence[Victim] = (),
) -> bool:
    """Claims capacity for all pending tasks, if preempting other runs can free enough.

    `chosen` are victims that are stopped in any case.  Returns whether capacity was claimed.
    """
    queue = job.queue
    excess_by_workspace = _preemptible_excess(state, job, step, len(pending))
    may_span_racks = (
        step.spec.is_gang and step.spec.wants_one_rack and _may_span_racks(state, job, step, slots)
    )
    if not excess_by_workspace:
        reclaimable = state.reclaimable_slots(queue.service)
        shape_slots = reclaimable.slots(step.spec.required_label, step.spec.shape)
        needs_one_rack = step.spec.wants_one_rack and not may_span_racks
        most = shape_slots.widest_rack if needs_one_rack else shape_slots.total
        if most < len(pending):
            return False
    candidates = find_candidates(
        step, slots.free.executors, queue.max_attempts, state.now_ms, state.suspect_addresses
    )
    kept = _find_kept_capacity(slots)
    searches = [(step, trusted) for trusted in widen_by_trust(candidates)]
    if may_span_racks:
        searches.append((Step(replace(step.spec, wants_one_rack=False), step.tasks), candidates))
    for searched_step, trusted in searches:
        preemption = plan_preemption(
            state.victims, searched_step, pending, trusted, excess_by_workspace, chosen, kept
        )
        if preemption is not None:
            preempt_and_claim(state, job, step, preemption)
            return True
    return False


def _find_kept_capacity(slots: ServiceSlots) -> dict[str, Resources]:
    """Returns the free part of the room that is reserved for other jobs, by executor.

    What preempted runs free may be claimed, because none are placed there for others any more.
    """
    kept: dict[str, Resources] = {}
    for executor in slots.free.executors:
        held = slots.held.get(executor.executor_id)
        if held is not None:
            kept[executor.executor_id] = executor.free_resources.overlap(held)
    return kept


def _preemptible_excess(
    state: PassState, job: Job, step: Step, pending_count: int
) -> dict[str, int]:
    """Returns what other workspaces use beyond their guarantee, if the job is within its own."""
    if not _is_within_guarantee(state, job, step, pending_count):
        return {}
    guaranteed = state.context.tables.policy.guaranteed_accelerators_by_workspace
    used = state.used_by_workspace
    workspace = job.record.workspace
    excess = {key: amount - guaranteed.get(key, 0) for key, amount in used.items()}
    return {key: amount for key, amount in excess.items() if key != workspace and amount > 0}


def _is_within_guarantee(state: PassState, job: Job, step: Step, pending_count: int) -> bool:
    """Whether the pending tasks of an urgent job are within the guarantee of its workspace."""
    guaranteed = state.context.tables.policy.guaranteed_accelerators_by_workspace
    workspace = job.record.workspace
    needed = pending_count * step.spec.shape.accelerators
    return state.used_by_workspace.get(workspace, 0) + needed <= guaranteed.get(workspace, 0)

"""Room reserved for jobs that have waited long, so that later jobs don't pass them for ever.

A pass places whatever fits.  A gang that needs many executors at once then waits for as long as
narrower jobs arrive that take each executor as it becomes free.  A job that has waited for
`RESERVE_AFTER_MS` with no run, and was passed by one that was accepted later, therefore gets a
reservation: room for its tasks on executors on which they fit once runs there have ended
(`_reservation_choice`).  Other jobs get new tasks there only beside it, except that

- urgent jobs that have to wait otherwise use it in the first `SHARED_WITH_URGENT_MS`,
- urgent jobs within the guarantee of their workspace always do, and
- overdue jobs of a mostly idle service do in the first `SHARED_WITH_OVERDUE_MS`, and then for
  tasks that are predicted to end before the job fits.

What a job needs of the quota of its workspace is kept from later jobs in the same way.

Reservations are made in the order in which the jobs were accepted, one for each workspace of a
service, and a further one only while they are on at most `MAX_RESERVED_SHARE` of the executors.

Targets a stream of narrow jobs on a busy cluster, with a few gangs that need a large part of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from jacinthreel_steps._context import Context
from jacinthreel_steps._executors._crash_evidence import has_suspects
from jacinthreel_steps._model import Resources
from jacinthreel_steps._planning._placement import UsableExecutors
from jacinthreel_steps._planning._reservation_choice import (
    Choice,
    Demand,
    choose_executors,
    fits_when_empty,
)
from jacinthreel_steps._planning._reservation_table import (
    QuotaHolder,
    Reservation,
    ReservationTable,
)
from jacinthreel_steps._tables import Executor, Job, Step, Tables
from jacinthreel_steps._workspaces._limits import fits_empty_quota
from jacinthreel_steps._workspaces._quotas import count_admitted

RESERVE_AFTER_MS: Final = 8_000
MAX_RESERVED_SHARE: Final = 0.4
CHECK_PERIOD_MS: Final = 250
MAX_RESERVATIONS: Final = 10  # For each service.
RETRY_MS: Final = 500  # For a job that does not fit on the executors that take tasks now.
FULL_RETRY_MS: Final = 1_000  # For a service without enough room beside other reservations.
MAX_COMPARED: Final = 1_500  # Executors to compare in a check; at least those of one service.


@dataclass(frozen=True, slots=True)
class _Starved:
    """A job that has waited too long, with the step to place and since when it has waited."""

    since_ms: int
    job: Job
    step: Step

    @property
    def needed(self) -> int:
        """How many tasks have to fit: all of a gang, one of another step."""
        return _count_needed(self.step)

    @property
    def service(self) -> str:
        """The service on whose executors the job runs."""
        return self.job.queue.service


def _count_needed(step: Step) -> int:
    return len(step.tasks) if step.spec.is_gang else 1


def update_reservations(context: Context, usable: UsableExecutors, now_ms: int) -> None:
    """Makes, changes and releases reservations; a no-op unless a check is due."""
    table = context.reservations
    if now_ms - table.checked_ms < CHECK_PERIOD_MS:
        return
    table.checked_ms = now_ms
    starved = {item.job.job_id: item for item in _find_starved(context, now_ms)}
    for times in (table.first_made_by_job, table.retry_by_job):
        for job_id in [job_id for job_id in times if job_id not in starved]:
            del times[job_id]
    table.quota_holder_by_workspace = _find_quota_holders(context, starved.values())
    check = _Check(context, usable, now_ms)
    _renew_reservations(check, starved)
    _make_reservations(check, starved.values())


def release_reservation(context: Context, job_id: str, now_ms: int) -> None:
    """Lets other jobs use the room that was reserved for a job; a no-op if there is none."""
    reservation = context.reservations.by_job.pop(job_id, None)
    if reservation is not None:
        context.reservations.retry_by_service.pop(reservation.service, None)
        fields = {"job_id": job_id, "held_ms": now_ms - reservation.made_ms}
        context.log("executors_released", fields)


def _find_starved(context: Context, now_ms: int) -> list[_Starved]:
    """Returns the jobs that have waited too long with no run, in order of acceptance.

    Those that wait only for jobs that were accepted earlier are left out, and those that would not
    fit if nothing else ran.
    """
    table = context.reservations
    jobs = context.tables.open_jobs_by_id.values()
    for job in jobs:
        if job.has_begun:
            _note_begun(context.tables, table, job)
    room = _ListedRoom(context.tables)
    starved: list[_Starved] = []
    since_by_job: dict[str, int] = {}
    for job in jobs:
        if job.announced_ms is not None:
            continue
        if not job.has_begun and now_ms - job.accepted_ms < RESERVE_AFTER_MS:
            continue
        steps = _find_waiting_steps(job)
        if not steps:
            continue
        since_ms = table.since_by_job.get(job.job_id, now_ms if job.has_begun else job.accepted_ms)
        since_by_job[job.job_id] = since_ms
        service = job.queue.service
        is_passed = job.accepted_ms < table.newest_placed_by_service.get(service, 0)
        if not is_passed or now_ms - since_ms < RESERVE_AFTER_MS:
            continue
        step = next((each for each in steps if room.fits(service, each)), None)
        if step is not None:
            starved.append(_Starved(since_ms, job, step))
    table.since_by_job = since_by_job
    starved.sort(key=lambda item: (item.job.accepted_ms, item.job.job_id))
    return starved


def _note_begun(tables: Tables, table: ReservationTable, job: Job) -> None:
    """Records where a job has begun, which an earlier owner may have placed.

    A job whose queue has moved since has begun where its runs are.
    """
    if job.queue.service == job.record.queue.service:
        table.note_placed(job.queue.service, job.accepted_ms)
        return
    for run in job.live_runs():
        executor = tables.executors_by_id.get(run.executor_id)
        if executor is not None:
            table.note_placed(executor.listing.service, job.accepted_ms)


def _find_waiting_steps(job: Job) -> list[Step]:
    """Returns the steps to place of a job without runs; none if it has some.

    Steps with suspects are left out: trials decide where they run.
    """
    open_steps = [step for step in job.steps if not step.is_done]
    for step in open_steps:
        if any(task.run is not None for task in step.tasks):
            return []
    return [step for step in open_steps if job.is_step_ready(step) and not has_suspects(step)]


class _ListedRoom:
    """Whether steps fit on the executors of a service that are listed and stay, if these are empty.

    Executors that don't take tasks for the moment count.  Each kind of step is tried once.
    """

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._executors_by_service: dict[str, list[Executor]] = {}
        self._fits_by_kind: dict[tuple[str, str, Resources, int, int], bool] = {}

    def fits(self, service: str, step: Step) -> bool:
        """Whether a task of a step fits, or the whole gang."""
        spec, needed = step.spec, _count_needed(step)
        kind = (service, spec.required_label, spec.shape, spec.max_per_executor, needed)
        fits = self._fits_by_kind.get(kind)
        if fits is None:
            fits = fits_when_empty(spec, needed, self._executors(service))
            self._fits_by_kind[kind] = fits
        return fits

    def _executors(self, service: str) -> list[Executor]:
        if not self._executors_by_service:
            zones_out = self._tables.policy.zones_out_of_service
            for executor in self._tables.executors_by_id.values():
                listing = executor.listing
                if not executor.is_listed or listing.is_draining or listing.zone in zones_out:
                    continue
                self._executors_by_service.setdefault(listing.service, []).append(executor)
        return self._executors_by_service.get(service, [])


def _find_quota_holders(context: Context, starved: Iterable[_Starved]) -> dict[str, QuotaHolder]:
    """Returns the first of these jobs of each workspace with a quota, with its needs.

    Jobs that exceed the whole quota are left out.
    """
    quotas = context.tables.policy.quota_by_workspace
    holders: dict[str, QuotaHolder] = {}
    for item in starved:
        workspace = item.job.record.workspace
        quota, shape = quotas.get(workspace), item.step.spec.shape
        if quota is None or workspace in holders or item.job.queue.priority == 0:
            continue
        if fits_empty_quota(quota, item.needed, shape):
            amount = shape.times(item.needed)
            holders[workspace] = QuotaHolder(item.job.job_id, item.job.accepted_ms, amount)
    return holders


class _Check:
    """The inputs of one check, with the executors of each service that take tasks."""

    def __init__(self, context: Context, usable: UsableExecutors, now_ms: int) -> None:
        self.context = context
        self.now_ms = now_ms
        self._usable = usable
        self._executors_by_service: dict[str, dict[str, Executor]] = {}

    def executors(self, service: str) -> dict[str, Executor]:
        """Returns the executors of a service that take tasks, also slow ones, by id."""
        executors_by_id = self._executors_by_service.get(service)
        if executors_by_id is None:
            executors = self._usable.by_service.get(service, [])
            executors = executors + self._usable.slow_by_service.get(service, [])
            executors_by_id = {executor.executor_id: executor for executor in executors}
            self._executors_by_service[service] = executors_by_id
        return executors_by_id

    def is_admitted(self, item: _Starved) -> bool:
        """Whether the quota of its workspace admits a job."""
        workspace = item.job.record.workspace
        return count_admitted(self.context, workspace, item.step.spec.shape) >= item.needed

    def choose(self, item: _Starved) -> Choice | None:
        """Returns the room to reserve for a job beside other reservations, None if none is left."""
        table, job_id = self.context.reservations, item.job.job_id
        reservation = table.by_job.get(job_id)
        held = {} if reservation is None else reservation.count_by_executor
        held_by_others = table.held_by_executor(item.service, (job_id,))
        demand = Demand(item.step.spec, item.needed, held)
        executors = list(self.executors(item.service).values())
        return choose_executors(self.context.tables, demand, executors, held_by_others, self.now_ms)


def _renew_reservations(check: _Check, starved: dict[str, _Starved]) -> None:
    """Releases reservations that are of no use, and replaces room that is gone.

    One of them also takes room that is free now for room that isn't; each has its turn.
    """
    table = check.context.reservations
    order = list(table.by_job)
    turn = order.index(table.improved_job) + 1 if table.improved_job in table.by_job else 0
    table.improved_job = order[turn % len(order)] if order else ""
    for job_id in order:
        item, reservation = starved.get(job_id), table.by_job[job_id]
        if item is None or not _is_for(reservation, item) or not check.is_admitted(item):
            release_reservation(check.context, job_id, check.now_ms)
            continue
        executors_by_id = check.executors(item.service)
        is_whole = all(key in executors_by_id for key in reservation.count_by_executor)
        if is_whole and table.improved_job != job_id:
            continue
        choice = check.choose(item)
        if choice is None:
            continue  # The room that is left is kept, until other executors take tasks again.
        reservation.count_by_executor = choice.count_by_executor
        reservation.fit_ms = choice.fit_ms


def _is_for(reservation: Reservation, item: _Starved) -> bool:
    """Whether a reservation is for the step that waits, in the service that its job uses now."""
    return reservation.step_index == item.step.index and reservation.service == item.service


def _make_reservations(check: _Check, starved: Iterable[_Starved]) -> None:
    """Makes reservations, in order of acceptance.

    A job for which there is not enough room beside other reservations keeps later ones from getting
    any in its service, for `FULL_RETRY_MS` or until one is released.
    """
    table, now_ms = check.context.reservations, check.now_ms
    holders = {(each.service, each.workspace) for each in table.by_job.values()}
    compared = 0
    for item in starved:
        holder = (item.service, item.job.record.workspace)
        if holder in holders or now_ms < table.retry_by_service.get(item.service, 0):
            continue
        if now_ms < table.retry_by_job.get(item.job.job_id, 0) or not check.is_admitted(item):
            continue
        if compared >= MAX_COMPARED:
            return
        executors_by_id = check.executors(item.service)
        if not executors_by_id:
            continue
        compared += len(executors_by_id)
        choice = check.choose(item)
        if choice is not None and _is_within_limits(check, item, choice):
            holders.add(holder)
            _reserve(check, item, choice)
        elif choice is not None or fits_when_empty(
            item.step.spec, item.needed, executors_by_id.values()
        ):
            table.retry_by_service[item.service] = now_ms + FULL_RETRY_MS
        else:
            table.retry_by_job[item.job.job_id] = now_ms + RETRY_MS


def _is_within_limits(check: _Check, item: _Starved, choice: Choice) -> bool:
    """Whether a further reservation leaves enough executors without any; the first one may."""
    table = check.context.reservations
    reserved_ids = set(table.held_by_executor(item.service))
    if not reserved_ids:
        return True
    reserved_ids.update(choice.count_by_executor)
    if len(table.job_ids(item.service)) >= MAX_RESERVATIONS:
        return False
    return len(reserved_ids) <= MAX_RESERVED_SHARE * len(check.executors(item.service))


def _reserve(check: _Check, item: _Starved, choice: Choice) -> None:
    table, now_ms = check.context.reservations, check.now_ms
    job_id = item.job.job_id
    table.by_job[job_id] = Reservation(
        item.service,
        item.job.record.workspace,
        item.step.index,
        item.step.spec.shape,
        table.first_made_by_job.setdefault(job_id, now_ms),
        choice.fit_ms,
        choice.count_by_executor,
    )
    check.context.log(
        "executors_reserved",
        {
            "job_id": job_id,
            "step": item.step.index,
            "tasks": item.needed,
            "waited_ms": now_ms - item.since_ms,
            "executors": len(choice.count_by_executor),
            "fits_in_ms": choice.fit_ms - now_ms,
            "priority": item.job.queue.priority,
        },
    )

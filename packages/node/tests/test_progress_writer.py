"""The progress writer while the store is silent: what waits is stored soon after its return."""

from __future__ import annotations

import asyncio

from node_fakes import ManualClock, MemoryStore
from returns.result import Failure, Result

from jacinthreel_common import Fault, ResultCode
from jacinthreel_daemon.plumbing import MetricsRegistry
from jacinthreel_node import Committed, Conflict, RowCondition, RowWrite
from jacinthreel_node._progress_writer import ProgressWriter
from jacinthreel_node._store_health import LOST_AFTER_MS, MonitoredStore
from jacinthreel_steps import JobRecord, JobSpec, QueueTerms, Resources, Scheduler, StepSpec

OUTAGE_MS = 4_000
RETURN_LIMIT_MS = 500
"""Users allow two seconds after the return of the store; callers' latency objectives less."""


class SilentStore(MemoryStore):
    """Leaves calls unanswered until `clock` reaches `back_ms`; each costs its timeout."""

    def __init__(self, clock: ManualClock, back_ms: int) -> None:
        super().__init__()
        self.clock = clock
        self.back_ms = back_ms

    async def commit(
        self, conditions: list[RowCondition], writes: list[RowWrite], timeout_ms: int
    ) -> Result[Committed | Conflict, Fault]:
        await asyncio.sleep(0)
        if self.clock.now_ms() < self.back_ms:
            self.clock.advance(timeout_ms)
            return Failure(Fault(ResultCode.STORE_OUTCOME_UNKNOWN, "no answer"))
        return await super().commit(conditions, writes, timeout_ms)


async def store_one_job(outage_ms: int) -> int:
    """Returns how long after the return of the store the progress of a job was stored."""
    clock = ManualClock()
    back_ms = clock.now_ms() + outage_ms
    store = MonitoredStore(SilentStore(clock, back_ms), clock)
    scheduler = Scheduler(lambda event, fields: None)
    terms = QueueTerms("q", "s", 1, 3, 3.0, 1_000)
    spec = JobSpec("x", (StepSpec(1, Resources(1, 1, 1)),))
    scheduler.add_job(JobRecord("j1", terms, "w", spec, 0), None, clock.now_ms(), clock.now_ms())
    scheduler.cancel("j1", clock.now_ms())
    stored = asyncio.Event()
    writer = ProgressWriter(
        store,
        scheduler,
        0,
        "n",
        clock,
        MetricsRegistry(),
        stored.set,
        lambda reason: None,
        store.is_progress_lost,
        lambda event, fields: None,
    )
    writer.wake()
    task = asyncio.create_task(writer.run())
    async with asyncio.timeout(20):
        await stored.wait()
    task.cancel()
    return clock.now_ms() - back_ms


def test_progress_is_stored_soon_after_a_silent_store_is_back() -> None:
    """An attempt at a silent store was waited for longer than callers' objectives allow."""
    assert OUTAGE_MS > LOST_AFTER_MS
    waits_ms = [asyncio.run(store_one_job(OUTAGE_MS + offset)) for offset in range(0, 1_000, 50)]
    assert max(waits_ms) <= RETURN_LIMIT_MS

"""The orders that wait to be sent to one executor.

The jobs whose orders wait take turns, because the orders of a wide job would hold up all others for
seconds.  In each turn stops are sent first, then starts by priority.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from jacinthreel_steps import Run, StopOrder

STOP_RANK: Final = -(2**60)  # Before starts of any priority.


@dataclass(order=True, slots=True)
class _QueuedOrder:
    """An order that waits to be sent; the lowest position is sent first."""

    position: tuple[int, int, int]
    order: Run | StopOrder = field(compare=False)


class OrderQueue:
    """Orders by turn of their job, rank and age."""

    def __init__(self) -> None:
        self._orders: asyncio.PriorityQueue[_QueuedOrder] = asyncio.PriorityQueue()
        self._order_count = 0
        self._waiting_by_job: dict[str, int] = {}

    def put(self, order: Run | StopOrder, rank: int) -> None:
        """Queues an order; of the same turn, the lowest rank is sent first."""
        job_id = order.run_id.task.job_id
        turn = self._waiting_by_job.get(job_id, 0)
        self._waiting_by_job[job_id] = turn + 1
        self._order_count += 1
        self._orders.put_nowait(_QueuedOrder((turn, rank, self._order_count), order))

    async def get(self) -> Run | StopOrder:
        """Waits for the next order and removes it."""
        order = (await self._orders.get()).order
        self._forget_turn(order.run_id.task.job_id)
        return order

    def _forget_turn(self, job_id: str) -> None:
        """Forgets the turns of a job once none of its orders waits any more."""
        waiting = self._waiting_by_job[job_id] - 1
        if waiting:
            self._waiting_by_job[job_id] = waiting
        else:
            del self._waiting_by_job[job_id]

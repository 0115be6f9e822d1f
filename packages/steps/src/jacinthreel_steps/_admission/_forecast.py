"""The forecast of when a job submitted now would start, a value that the owner sends to all nodes.

Jobs are distinguished by service, rank and the accelerators that they need at once.  The rank is
the order of priorities, and within a priority, of workspaces that are and are not over their share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import msgspec

from jacinthreel_steps._model import QueueTerms, StepSpec

OPTIMISM: Final = 2.0
"""The factor by which work is assumed to be done sooner than estimated.

Submitters' estimates are off by a factor of up to 1.9, and up to half of the executors may become
available again.
"""
RANKS_PER_PRIORITY: Final = 2


class PredictedStart(msgspec.Struct, frozen=True, array_like=True):
    """When a job could start at the earliest, if it is of `rank` or a later one.

    Encoded without field names, because each node receives it several times a second.

    Applies to jobs that need at least `accelerators` at once, and if `wants_one_rack` is set, only
    to gangs that want one rack.  `start_ms`, counted from the forecast, assumes that work is done
    `OPTIMISM` times as fast as estimated.  `drain_ms` is how long the running and waiting work up
    to `rank` takes by the estimates.  `free_accelerators` is how many accelerators a job of this
    rank could use now.
    """

    service: str
    rank: int
    accelerators: int
    wants_one_rack: bool
    start_ms: int
    drain_ms: int
    free_accelerators: int

    def applies_to(self, other: PredictedStart) -> bool:
        """Whether each job that `other` applies to is also one that this one applies to."""
        return (
            self.service == other.service
            and self.rank <= other.rank
            and self.accelerators <= other.accelerators
            and self.wants_one_rack <= other.wants_one_rack
        )


@dataclass(frozen=True, slots=True)
class Forecast:
    """The starts that are predicted to be late, and the workspaces with rules of their own.

    `guarantee_left_by_workspace` holds the guaranteed accelerators that a workspace does not use.
    Jobs of `over_share_workspaces` are scheduled after others of their priority.
    """

    starts: list[PredictedStart]
    guarantee_left_by_workspace: dict[str, int] = field(default_factory=dict)
    over_share_workspaces: list[str] = field(default_factory=list)

    def wait_by_priority(self) -> dict[int, int]:
        """Returns the longest time in ms until a job could start, by priority."""
        waits: dict[int, int] = {}
        for predicted in self.starts:
            priority = predicted.rank // RANKS_PER_PRIORITY
            waits[priority] = max(waits.get(priority, 0), predicted.start_ms)
        return waits


def rank_of(queue: QueueTerms, is_over_share: bool) -> int:
    """Returns the rank of a job; jobs of lower ranks are scheduled first."""
    return RANKS_PER_PRIORITY * queue.priority + is_over_share


def accelerators_at_once(spec: StepSpec) -> int:
    """Returns how many accelerators have to be free for the first tasks of a step to start.

    >>> from jacinthreel_steps._model import Resources
    >>> accelerators_at_once(StepSpec(4, Resources(1, 1, 2), is_gang=True))
    8
    >>> accelerators_at_once(StepSpec(4, Resources(1, 1, 2)))
    2
    """
    return spec.shape.accelerators * (spec.count if spec.is_gang else 1)


def needs_one_rack(spec: StepSpec) -> bool:
    """Whether all tasks of the step have to fit on one rack at the same time."""
    return spec.is_gang and spec.wants_one_rack

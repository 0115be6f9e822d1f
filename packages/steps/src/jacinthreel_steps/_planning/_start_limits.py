"""Limits how many runs may wait for their start, so that placing doesn't run ahead of starting.

A run that is placed holds its capacity until its start has been ordered and confirmed, which takes
about a millisecond of the process for each.  Without limits, a wide job would hold all free
capacity for many seconds before its tasks run, and keep it from jobs that arrive meanwhile.

Targets jobs of thousands of small tasks.  Gangs are not limited, as they are placed whole.
"""

from __future__ import annotations

from typing import Final

from jacinthreel_steps._tables import Run, RunState, Step, Tables

MAX_WAITING_STARTS: Final = 2_000  # Of tasks of all jobs; those of priority 0 are not limited.
MAX_WAITING_STARTS_OF_STEP: Final = 500

_WAITING_STATES: Final = (RunState.PLACED, RunState.STARTING)


def count_start_slots(tables: Tables) -> int:
    """Returns how many more runs may be placed now, 0 or more."""
    waiting = 0
    for executor in tables.executors_by_id.values():
        waiting += sum(map(_is_waiting, executor.runs_by_task.values()))
    return max(0, MAX_WAITING_STARTS - waiting)


def count_start_slots_of_step(step: Step) -> int:
    """Returns how many more runs of the step may be placed now, 0 or more."""
    if step.spec.count <= MAX_WAITING_STARTS_OF_STEP:
        return MAX_WAITING_STARTS_OF_STEP
    waiting = sum(task.run is not None and _is_waiting(task.run) for task in step.tasks)
    return max(0, MAX_WAITING_STARTS_OF_STEP - waiting)


def _is_waiting(run: Run) -> bool:
    return run.state in _WAITING_STATES

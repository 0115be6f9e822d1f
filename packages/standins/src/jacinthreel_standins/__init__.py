"""Stand-ins (test doubles) for the platform's services, the workers and the executors."""

from jacinthreel_standins._executor_model import (
    ANSWER_CONTENT_TYPE,
    ExecutorModel,
    ExecutorRefusal,
    ExecutorRun,
    expected_answer,
    parse_run_ms,
)
from jacinthreel_standins._memory_store import MemoryStore, StoreOutcome
from jacinthreel_standins._table_model import TableModel
from jacinthreel_standins._worker_model import (
    TaskBehaviour,
    TaskStart,
    WorkerModel,
    parse_behaviour,
)

__all__ = [
    "ANSWER_CONTENT_TYPE",
    "ExecutorModel",
    "ExecutorRefusal",
    "ExecutorRun",
    "MemoryStore",
    "StoreOutcome",
    "TableModel",
    "TaskBehaviour",
    "TaskStart",
    "WorkerModel",
    "expected_answer",
    "parse_behaviour",
    "parse_run_ms",
]

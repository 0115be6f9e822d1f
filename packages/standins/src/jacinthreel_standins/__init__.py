"""Small stand-ins for the platform, the workers and the executors."""

from jacinthreel_standins._table_model import TableModel
from jacinthreel_standins._worker_model import (
    TaskBehaviour,
    TaskStart,
    WorkerModel,
    parse_behaviour,
)

__all__ = ["TableModel", "TaskBehaviour", "TaskStart", "WorkerModel", "parse_behaviour"]

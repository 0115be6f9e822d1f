"""The process of an entry host that accepts jobs and may own the schedule.

`Node` is wired by an adapter, which hands it the store, the executors and the settings, and serves
its `JobService` to callers.
"""

from jacinthreel_node._job_service import Accepted, JobService, check_job_id
from jacinthreel_node._node import CallerServer, Node
from jacinthreel_node._ports import (
    Committed,
    Conflict,
    ExecutorGateway,
    ExecutorTarget,
    KeyedStore,
    OperatorEvent,
    PlatformRows,
    PolicyPut,
    ReportAnswer,
    ReportQuestion,
    Row,
    RowCondition,
    RowWrite,
    Snapshot,
    StartAnswer,
    StartCommand,
    Unusable,
    ZoneChanged,
)
from jacinthreel_node._records import transaction_group, transaction_groups
from jacinthreel_node._routing import PolicyView, Route, RoutedCall, RoutingPolicy
from jacinthreel_node._settings import NodeSettings

__all__ = [
    "Accepted",
    "CallerServer",
    "Committed",
    "Conflict",
    "ExecutorGateway",
    "ExecutorTarget",
    "JobService",
    "KeyedStore",
    "Node",
    "NodeSettings",
    "OperatorEvent",
    "PlatformRows",
    "PolicyPut",
    "PolicyView",
    "ReportAnswer",
    "ReportQuestion",
    "Route",
    "RoutedCall",
    "RoutingPolicy",
    "Row",
    "RowCondition",
    "RowWrite",
    "Snapshot",
    "StartAnswer",
    "StartCommand",
    "Unusable",
    "ZoneChanged",
    "check_job_id",
    "transaction_group",
    "transaction_groups",
]

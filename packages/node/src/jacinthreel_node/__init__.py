"""The process on an entry host that accepts jobs and can become the owner of the schedule.

A platform adapter constructs `Node` with the store, the executor gateway and the settings, and
exposes its `JobService` to callers.
"""

from jacinthreel_node._job_service import JobService, SubmitResult, check_job_id
from jacinthreel_node._node import CallerServer, Node
from jacinthreel_node._ports import (
    Committed,
    Conflict,
    ExecutorGateway,
    ExecutorTarget,
    KeyedStore,
    OperatorEvent,
    PlatformRowDecoder,
    PolicyPut,
    ReportRequest,
    ReportResponse,
    Row,
    RowCondition,
    RowWrite,
    Snapshot,
    StartCommand,
    StartResponse,
    UnusableRow,
    ZoneChanged,
)
from jacinthreel_node._records import transaction_group, transaction_groups
from jacinthreel_node._routing import PolicyView, Route, RoutedCall, RoutingPolicy
from jacinthreel_node._settings import DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_MB, NodeSettings

__all__ = [
    "DEFAULT_MAX_DESCRIPTORS",
    "DEFAULT_MEMORY_MB",
    "SubmitResult",
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
    "PlatformRowDecoder",
    "PolicyPut",
    "PolicyView",
    "ReportResponse",
    "ReportRequest",
    "Route",
    "RoutedCall",
    "RoutingPolicy",
    "Row",
    "RowCondition",
    "RowWrite",
    "Snapshot",
    "StartResponse",
    "StartCommand",
    "UnusableRow",
    "ZoneChanged",
    "check_job_id",
    "transaction_group",
    "transaction_groups",
]

"""Routes a caller's request to a queue, and its API key to a workspace.

The request's host and the longest matching prefix of its path select the queue; the remainder of
the path is the job id.  A policy is only ever replaced by one of a higher version.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_steps import Policy, QueueTerms, Resources

RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Route:
    """The host and path prefix of a queue.

    A public queue needs no API key.  Submissions to a queue that `needs_advice` are refused:
    queues whose policy is queried for scheduling advice are not implemented.
    """

    host: str
    path_prefix: str
    queue: QueueTerms
    is_public: bool = False
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """The parts of an operator configuration that a node uses.

    `quota_by_workspace` and `weight_by_workspace` have no entry for a workspace without one.
    `unguarded_services` are those whose executors do not guard their capacity.
    """

    version: int
    routes: tuple[Route, ...]
    workspace_by_key: dict[str, str]
    guaranteed_accelerators_by_workspace: dict[str, int] = field(default_factory=dict)
    max_body_bytes: int = 1_048_576
    quota_by_workspace: dict[str, Resources] = field(default_factory=dict)
    weight_by_workspace: dict[str, float] = field(default_factory=dict)
    unguarded_services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """The route of a call, its path after the prefix, and the workspace of its key ("" if none).

    `quota` is that of the workspace, None if it has none.  `policy_version` is the version of the
    configuration that the call was routed by.
    """

    route: Route
    path_remainder: str
    workspace: str
    quota: Resources | None = None
    policy_version: int = 0


class PolicyView:
    """The current policy of this process, and the zones that are out of service."""

    def __init__(self) -> None:
        self._policy: RoutingPolicy | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._routes_by_host: dict[str, list[Route]] = {}

    @property
    def current(self) -> RoutingPolicy | None:
        """The newest policy received, or None."""
        return self._policy

    def apply_if_newer(self, policy: RoutingPolicy) -> bool:
        """Applies a policy if its version is higher; returns whether it was applied."""
        if self._policy is not None and policy.version <= self._policy.version:
            return False
        self._policy = policy
        by_host: dict[str, list[Route]] = {}
        for route in policy.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._routes_by_host = by_host
        return True

    def set_zone_out(self, zone: str, is_out: bool) -> None:
        """Marks a zone as out of service or in service."""
        self._zones_out = self._zones_out | {zone} if is_out else self._zones_out - {zone}

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Replaces the zones that are out of service."""
        self._zones_out = zones

    def scheduling_policy(self) -> Policy:
        """Returns the part of the policy that the scheduler uses."""
        if self._policy is None:
            return Policy(0, zones_out_of_service=self._zones_out)
        queues = {route.queue.name: route.queue for route in self._policy.routes}
        return Policy(
            self._policy.version,
            queues,
            self._policy.guaranteed_accelerators_by_workspace,
            self._zones_out,
            self._policy.quota_by_workspace,
            self._policy.weight_by_workspace,
            self._policy.unguarded_services,
        )

    def route(self, host: str, path: str, key: str | None) -> Result[RoutedCall, Fault]:
        """Finds a call's queue and workspace.  Errors: NO_CONFIG, NO_SUCH_RESOURCE, UNKNOWN_KEY."""
        if self._policy is None:
            detail = "no configuration has been received yet"
            return Failure(Fault(ResultCode.NO_CONFIG, detail, RETRY_AFTER_MS))
        route = self._find_route(host, path)
        if route is None:
            return Failure(Fault(ResultCode.NO_SUCH_RESOURCE, "no such queue"))
        workspace = self._policy.workspace_by_key.get(key) if key is not None else None
        if workspace is None and not route.is_public:
            return Failure(Fault(ResultCode.UNKNOWN_KEY, "the key belongs to no workspace"))
        remainder = path[len(route.path_prefix) :]
        quota = self._policy.quota_by_workspace.get(workspace or "")
        version = self._policy.version
        return Success(RoutedCall(route, remainder, workspace or "", quota, version))

    def _find_route(self, host: str, path: str) -> Route | None:
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

"""Which queue a call belongs to and whose key it carries.

A call's host and the longest matching prefix of its path select the queue; the rest of the path
is the job's id.  Policies are put in force by version, and never replaced by an older one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, ResultCode
from jacinthreel_steps import Policy, QueueTerms

RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Route:
    """Where the calls of a queue arrive; a public one needs no key."""

    host: str
    path_prefix: str
    queue: QueueTerms
    is_public: bool = False
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """A configuration as the operator put it."""

    version: int
    routes: tuple[Route, ...]
    workspace_by_key: dict[str, str]
    guaranteed_accelerators_by_workspace: dict[str, int] = field(default_factory=dict)
    max_body_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call with its queue, the rest of its path and the workspace of its key."""

    route: Route
    rest: str
    workspace: str


class PolicyView:
    """The policy in force in this process and the zones out of service."""

    def __init__(self) -> None:
        self._policy: RoutingPolicy | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._routes_by_host: dict[str, list[Route]] = {}

    @property
    def current(self) -> RoutingPolicy | None:
        """The newest policy seen, or None."""
        return self._policy

    def put(self, policy: RoutingPolicy) -> bool:
        """Puts a policy in force if it is newer; says whether it was."""
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

    def set_zone(self, zone: str, is_out: bool) -> None:
        """Takes a zone out of service or back."""
        self._zones_out = self._zones_out | {zone} if is_out else self._zones_out - {zone}

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Replaces the zones that are out of service."""
        self._zones_out = zones

    def scheduling_policy(self) -> Policy:
        """What the scheduler needs of it."""
        if self._policy is None:
            return Policy(0, zones_out_of_service=self._zones_out)
        queues = {route.queue.name: route.queue for route in self._policy.routes}
        return Policy(
            self._policy.version,
            queues,
            self._policy.guaranteed_accelerators_by_workspace,
            self._zones_out,
        )

    def route(self, host: str, path: str, key: str | None) -> Result[RoutedCall, Fault]:
        """Finds the queue of a call.  Errors: NO_CONFIG, NO_SUCH_RESOURCE, UNKNOWN_KEY."""
        if self._policy is None:
            detail = "no configuration has been seen yet"
            return Failure(Fault(ResultCode.NO_CONFIG, detail, RETRY_AFTER_MS))
        route = self._find(host, path)
        if route is None:
            return Failure(Fault(ResultCode.NO_SUCH_RESOURCE, "no such queue"))
        workspace = self._policy.workspace_by_key.get(key) if key is not None else None
        if workspace is None and not route.is_public:
            return Failure(Fault(ResultCode.UNKNOWN_KEY, "the key belongs to no workspace"))
        return Success(RoutedCall(route, path[len(route.path_prefix) :], workspace or ""))

    def _find(self, host: str, path: str) -> Route | None:
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

"""A random walk over routers, executors and a table, with faults; `Cluster` checks each step."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

PLACE = st.integers(min_value=0, max_value=30)


def make_machine(clusters: type[Any], one_id: bool) -> type[RuleBasedStateMachine]:
    """The machine's class; with `one_id` all routers get the same non-idempotent request."""

    class RequestMachine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.cluster = clusters(routers=2, executors=4, slots=1)

        def router(self, place: int) -> int:
            numbers = sorted(self.cluster.routers)
            return int(numbers[place % len(numbers)])

        def message(self, place: int, running: bool) -> Any:
            messages = [m for m in self.cluster.on_the_way if (m.run is not None) == running]
            return messages[place % len(messages)] if messages else None

        @rule(place=PLACE, name=st.sampled_from(["a", "b", None]), other=st.booleans())
        def send(self, place: int, name: str | None, other: bool) -> None:
            name = "a" if one_id else name
            body = b"other" if other and name == "b" else b"payload"
            self.cluster.send(self.router(place), name, body=body, within_ms=3_000)

        @precondition(lambda self: not one_id)
        @rule(place=PLACE, name=st.sampled_from(["i1", None]))
        def send_idempotent(self, place: int, name: str | None) -> None:
            self.cluster.send(self.router(place), name, idempotent=True, within_ms=1_000)

        @rule(place=PLACE, sent=st.sampled_from([True, True, True, False]))
        def reach(self, place: int, sent: bool) -> None:
            message = self.message(place, running=False)
            if message is not None:
                (self.cluster.reach if sent else self.cluster.not_sent)(message)

        @rule(place=PLACE, lost=st.booleans(), twice=st.booleans())
        def reply(self, place: int, lost: bool, twice: bool) -> None:
            message = self.message(place, running=True)
            if message is not None:
                self.cluster.reply(message, lost=lost, twice=twice)

        @rule(
            place=PLACE,
            fate=st.sampled_from(["answered", "answered", "lost_request", "lost_reply", "late"]),
        )
        def store(self, place: int, fate: str) -> None:
            messages = self.cluster.store_messages
            if messages:
                self.cluster.store(messages[place % len(messages)], fate)

        @rule()
        def store_all(self) -> None:
            self.cluster.settle_store()

        @rule()
        def apply_delayed(self) -> None:
            self.cluster.apply_delayed()

        @rule(out=st.booleans())
        def switch_store(self, out: bool) -> None:
            self.cluster.store_unavailable = out

        @rule(duration_ms=st.sampled_from([1, 50, 600, 2_500]))
        def advance(self, duration_ms: int) -> None:
            self.cluster.advance(duration_ms)

        @rule(place=PLACE)
        def kill_router(self, place: int) -> None:
            self.cluster.kill_router(self.router(place))

        @precondition(lambda self: not one_id)
        @rule(place=PLACE)
        def hang_up(self, place: int) -> None:
            keys = sorted(self.cluster.sendings)
            if keys:
                self.cluster.hang_up(keys[place % len(keys)])

        @precondition(lambda self: not one_id)
        @rule(number=st.sampled_from([1, 2]), listed=st.booleans())
        def executor_leaves(self, number: int, listed: bool) -> None:
            self.cluster.leave(f"x{number}", listed)

        @precondition(lambda self: not one_id)
        @rule()
        def zone_out(self) -> None:
            self.cluster.take_zone_out("zone3")

        @precondition(lambda self: not one_id)
        @rule()
        def tell_peers(self) -> None:
            self.cluster.tell_peers()

        def teardown(self) -> None:
            """Everything heals: all callers that are still there get their answer."""
            cluster = self.cluster
            cluster.store_unavailable = False
            for number in list(cluster.routers):
                cluster.drain(number)
            cluster.settle()
            cluster.advance(5_000)
            cluster.settle()
            unanswered = set(cluster.sendings) - set(cluster.outcomes) - cluster.lost_calls
            assert not unanswered, "a caller never got an answer"
            cluster.check()

    return RequestMachine


@pytest.mark.parametrize("one_id", [False, True])
def test_promises_hold_on_random_walks(clusters: type[Any], one_id: bool) -> None:
    run_state_machine_as_test(
        make_machine(clusters, one_id),
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=100,
            stateful_step_count=40,
            suppress_health_check=list(HealthCheck),
        ),
    )

"""Runs random events and faults on a `Cluster`, which checks the invariants after each step."""

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

INDEX = st.integers(min_value=0, max_value=30)


def make_machine(cluster_class: type[Any], single_request_id: bool) -> type[RuleBasedStateMachine]:
    """Returns the state machine class.

    If `single_request_id` is true, all calls send the same non-idempotent request.
    """

    class RequestMachine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.cluster = cluster_class(routers=2, executors=4, slots=1)

        def pick_router(self, index: int) -> int:
            numbers = sorted(self.cluster.routers)
            return int(numbers[index % len(numbers)])

        def pick_message(self, index: int, running: bool) -> Any:
            messages = [m for m in self.cluster.in_flight if (m.run is not None) == running]
            return messages[index % len(messages)] if messages else None

        @rule(index=INDEX, name=st.sampled_from(["a", "b", None]), with_other_body=st.booleans())
        def send(self, index: int, name: str | None, with_other_body: bool) -> None:
            name = "a" if single_request_id else name
            body = b"other" if with_other_body and name == "b" else b"payload"
            self.cluster.send(self.pick_router(index), name, body=body, within_ms=3_000)

        @precondition(lambda self: not single_request_id)
        @rule(index=INDEX, name=st.sampled_from(["i1", None]))
        def send_idempotent(self, index: int, name: str | None) -> None:
            self.cluster.send(self.pick_router(index), name, idempotent=True, within_ms=1_000)

        @rule(index=INDEX, is_connected=st.sampled_from([True, True, True, False]))
        def deliver_request(self, index: int, is_connected: bool) -> None:
            message = self.pick_message(index, running=False)
            if message is not None:
                (self.cluster.deliver_request if is_connected else self.cluster.fail_to_connect)(
                    message
                )

        @rule(index=INDEX, lost=st.booleans(), duplicated=st.booleans())
        def deliver_reply(self, index: int, lost: bool, duplicated: bool) -> None:
            message = self.pick_message(index, running=True)
            if message is not None:
                self.cluster.deliver_reply(message, lost=lost, duplicated=duplicated)

        @rule(
            index=INDEX,
            delivery=st.sampled_from(
                ["answered", "answered", "lost_request", "lost_reply", "late"]
            ),
        )
        def deliver_store_message(self, index: int, delivery: str) -> None:
            messages = self.cluster.store_messages
            if messages:
                self.cluster.deliver_store_message(messages[index % len(messages)], delivery)

        @rule()
        def deliver_all_store_messages(self) -> None:
            self.cluster.deliver_store_messages()

        @rule()
        def apply_delayed_writes(self) -> None:
            self.cluster.apply_delayed_writes()

        @rule(unavailable=st.booleans())
        def set_store_availability(self, unavailable: bool) -> None:
            self.cluster.store_unavailable = unavailable

        @rule(duration_ms=st.sampled_from([1, 50, 600, 2_500]))
        def advance(self, duration_ms: int) -> None:
            self.cluster.advance(duration_ms)

        @rule(index=INDEX)
        def kill_router(self, index: int) -> None:
            self.cluster.kill_router(self.pick_router(index))

        @precondition(lambda self: not single_request_id)
        @rule(index=INDEX)
        def disconnect_caller(self, index: int) -> None:
            keys = sorted(self.cluster.sent_requests)
            if keys:
                self.cluster.disconnect_caller(keys[index % len(keys)])

        @precondition(lambda self: not single_request_id)
        @rule(number=st.sampled_from([1, 2]), listed=st.booleans())
        def executor_leaves(self, number: int, listed: bool) -> None:
            self.cluster.start_leaving(f"x{number}", listed)

        @precondition(lambda self: not single_request_id)
        @rule()
        def take_zone_out(self) -> None:
            self.cluster.take_zone_out("zone3")

        @precondition(lambda self: not single_request_id)
        @rule()
        def exchange_peer_notices(self) -> None:
            self.cluster.exchange_peer_notices()

        def teardown(self) -> None:
            """Checks that every connected caller gets an answer after all faults are cleared."""
            cluster = self.cluster
            cluster.store_unavailable = False
            for number in list(cluster.routers):
                cluster.drain(number)
            cluster.deliver_all()
            cluster.advance(5_000)
            cluster.deliver_all()
            unanswered = (
                set(cluster.sent_requests) - set(cluster.outcomes) - cluster.disconnected_calls
            )
            assert not unanswered, "a caller never got an answer"
            cluster.check_invariants()

    return RequestMachine


@pytest.mark.parametrize("single_request_id", [False, True])
def test_invariants_hold_for_random_events_and_faults(
    cluster_class: type[Any], single_request_id: bool
) -> None:
    run_state_machine_as_test(
        make_machine(cluster_class, single_request_id),
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=100,
            stateful_step_count=40,
            suppress_health_check=list(HealthCheck),
        ),
    )

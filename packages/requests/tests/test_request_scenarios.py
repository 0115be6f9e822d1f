"""Runs the scenarios of `features/requests.feature` on a `Cluster`."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from jacinthreel_common import ResultCode
from jacinthreel_requests import Answered, LogDecision, NotRun, Unknown
from jacinthreel_requests._tables import ExecutorHealth

scenarios("features/requests.feature")

OUTCOME_TYPES = {"not run": NotRun, "unknown": Unknown}


when("all messages are delivered")(lambda cluster: cluster.deliver_all())
when("the table service replies")(lambda cluster: cluster.deliver_store_messages())
when(parsers.parse("the claim write has the fault {fault}"))(
    lambda cluster, fault: cluster.deliver_store_message(cluster.store_messages[0], fault)
)
when(parsers.parse("{duration:d} ms pass"))(lambda cluster, duration: cluster.advance(duration))
when(parsers.parse("h{router:d} is killed"))(lambda cluster, router: cluster.kill_router(router))
when(parsers.parse("h{router:d} starts to drain"))(lambda cluster, router: cluster.drain(router))
when(parsers.parse("{zone} is taken out of service"))(
    lambda cluster, zone: cluster.take_zone_out(zone)
)


@pytest.fixture
def call_keys() -> dict[str, tuple[int, int]]:
    """The key of the latest call of each named request."""
    return {}


@pytest.fixture
def scenario_state(cluster_class: type[Any]) -> dict[str, Any]:
    return {"make": cluster_class}


@pytest.fixture
def cluster(scenario_state: dict[str, Any]) -> Any:
    return scenario_state["cluster"]


@given(parsers.parse("{routers:d} routers and {executors:d} executors with {slots:d} slots"))
def _start_cluster(
    scenario_state: dict[str, Any], routers: int, executors: int, slots: int
) -> None:
    scenario_state["cluster"] = scenario_state["make"](routers, executors, slots)


def change_preset_settings(cluster: Any, **changes: Any) -> None:
    config = cluster.config
    settings = replace(config.settings, **changes)
    cluster.config = replace(config, presets={**config.presets, config.preset: settings})
    for number in cluster.routers:
        cluster.routers[number].config = cluster.config


@given(parsers.parse("a queue limit of {count:d} requests"))
def _set_queue_limit(cluster: Any, count: int) -> None:
    change_preset_settings(cluster, request_queue=count)


@given("a retry budget ratio of 0")
def _set_retry_budget(cluster: Any) -> None:
    change_preset_settings(cluster, retry_budget_ratio=0.0)


def send(cluster: Any, call_keys: Any, kind: str, name: str, router: int, **options: Any) -> None:
    request_id = None if kind == "note" else name
    call_keys[name] = cluster.send(router, request_id, idempotent=kind == "query", **options)


@when(parsers.re(r"(?P<kind>order|query|note) (?P<name>\w) is sent to h(?P<router>\d)( again)?$"))
def _send(cluster: Any, call_keys: Any, kind: str, name: str, router: str) -> None:
    send(cluster, call_keys, kind, name, int(router))


@when(parsers.parse("{kind} {name} is sent to h{router:d} within {within:d} ms"))
def _send_within(
    cluster: Any, call_keys: Any, kind: str, name: str, router: int, within: int
) -> None:
    send(cluster, call_keys, kind, name, router, within_ms=within)


@when(parsers.parse("{kind} {name} is sent to h{router:d} with another body"))
def _send_with_other_body(cluster: Any, call_keys: Any, kind: str, name: str, router: int) -> None:
    send(cluster, call_keys, kind, name, router, body=b"other")


@when(parsers.parse("{count:d} queries are sent to h{router:d}"))
def _send_many(cluster: Any, count: int, router: int) -> None:
    for _ in range(count):
        cluster.send(router, None, idempotent=True)


@when(parsers.parse("{count:d} queries are sent to each router"))
def _send_many_to_each_router(cluster: Any, count: int) -> None:
    for router in list(cluster.routers):
        _send_many(cluster, count, router)


@when("every request reaches its executor")
def _deliver_requests(cluster: Any) -> None:
    cluster.deliver_store_messages()
    for message in [m for m in cluster.in_flight if m.run is None]:
        cluster.deliver_request(message)


@when("the answers arrive in reverse order")
def _reply_reversed(cluster: Any) -> None:
    for message in reversed([m for m in cluster.in_flight if m.run is not None]):
        cluster.deliver_reply(message)


@when("every reply is lost")
def _lose_replies(cluster: Any) -> None:
    for message in [m for m in cluster.in_flight if m.run is not None]:
        cluster.deliver_reply(message, lost=True)


@when("every connection attempt fails")
def _fail_to_connect(cluster: Any) -> None:
    for message in [m for m in cluster.in_flight if m.run is None]:
        cluster.fail_to_connect(message)


@when(parsers.parse("{count:d} rounds of attempts are lost"))
def _lose_reply_rounds(cluster: Any, count: int) -> None:
    for _ in range(count):
        _deliver_requests(cluster)
        _lose_replies(cluster)


@when("the table service becomes unavailable")
def _make_store_unavailable(cluster: Any) -> None:
    cluster.store_unavailable = True


@when("the table service becomes available again")
def _make_store_available(cluster: Any) -> None:
    cluster.store_unavailable = False


@when(parsers.parse("{hours:d} hours pass"))
def _advance_hours(cluster: Any, hours: int) -> None:
    cluster.now_ms += hours * 3_600_000
    cluster.advance(300)


@then(parsers.parse("the table has {count:d} rows"))
def _check_row_count(cluster: Any, count: int) -> None:
    assert len(cluster.table.rows_by_key) == count


@when(parsers.parse("{executor} is listed as leaving"))
def _list_leaving(cluster: Any, executor: str) -> None:
    cluster.start_leaving(executor, listed=True)


@when(parsers.parse("{executor} starts to leave but is still listed as live"))
def _start_leaving(cluster: Any, executor: str) -> None:
    cluster.start_leaving(executor, listed=False)


@when("every attempt at x1, x2, x3, x4 and x5 fails for 300 ms")
def _fail_attempts_at_five(cluster: Any) -> None:
    failing = {"x1", "x2", "x3", "x4", "x5"}
    for _ in range(30):
        _send_many(cluster, 2, 1)
        for message in [m for m in cluster.in_flight if m.run is None]:
            if message.dispatch.executor_id in failing:
                cluster.fail_to_connect(message)
        cluster.advance(10)


@when(parsers.parse("{count:d} requests of h1 finish while the routers exchange load notices"))
def _finish_requests_of_first_router(cluster: Any, count: int) -> None:
    for _ in range(count):
        cluster.exchange_peer_notices()
        _deliver_requests(cluster)
        running = [m for m in cluster.in_flight if m.run is not None and m.router == 1]
        if running:
            cluster.deliver_reply(running[0])
        cluster.advance(120)


@when(parsers.parse("all messages except the replies of {executor} are delivered"))
def _deliver_all_but_replies_of(cluster: Any, executor: str) -> None:
    for _ in range(20):
        _deliver_requests(cluster)
        for message in list(cluster.in_flight):
            if message.dispatch.executor_id != executor:
                cluster.deliver_reply(message)
        cluster.advance(10)


@when("all messages except the first replies to A and B are delivered")
def _deliver_all_but_first_replies(
    cluster: Any, call_keys: Any, scenario_state: dict[str, Any]
) -> None:
    held_call_ids = {call_keys["A"][1], call_keys["B"][1]}
    held_messages = scenario_state.setdefault(
        "held", [m for m in cluster.in_flight if m.dispatch.call_id in held_call_ids]
    )
    for _ in range(20):
        _deliver_requests(cluster)
        for message in list(cluster.in_flight):
            if message not in held_messages:
                cluster.deliver_reply(message)
        cluster.advance(10)


@when("x1 answers 25 requests in 600 ms each and the others in 50 ms each")
def _observe_latencies(cluster: Any) -> None:
    router = cluster.routers[1]
    for executor in router.tables.executors_by_id.values():
        for _ in range(25):
            executor.observe_latency(600.0 if executor.executor_id == "x1" else 50.0)


@when(parsers.parse("{count:d} urgent queries arrive one by one while requests finish"))
def _send_urgent_queries(cluster: Any, count: int) -> None:
    for _ in range(count):
        cluster.send(1, None, idempotent=True, within_ms=1_000)
        cluster.advance(50)
        _deliver_requests(cluster)
        _reply_reversed(cluster)


@then("A, B and C have their own answers")
def _check_own_answers(cluster: Any, call_keys: Any) -> None:
    for name in "ABC":
        assert isinstance(cluster.outcomes[call_keys[name]], Answered)


@then(parsers.parse("{name} is answered"))
def _check_answered(cluster: Any, call_keys: Any, name: str) -> None:
    outcome = cluster.outcomes[call_keys[name]]
    assert isinstance(outcome, Answered)
    assert not outcome.replayed


@then(parsers.parse("{name} gets the recorded answer"))
def _check_replayed(cluster: Any, call_keys: Any, name: str) -> None:
    outcome = cluster.outcomes[call_keys[name]]
    assert isinstance(outcome, Answered)
    assert outcome.replayed


@then(parsers.parse("{name} has the outcome {kind} with {code}"))
def _check_outcome(cluster: Any, call_keys: Any, name: str, kind: str, code: str) -> None:
    outcome = cluster.outcomes[call_keys[name]]
    assert isinstance(outcome, OUTCOME_TYPES[kind])
    assert outcome.code is ResultCode[code]


@then(parsers.parse("{name} gets a retry delay"))
def _check_retry_delay(cluster: Any, call_keys: Any, name: str) -> None:
    assert cluster.outcomes[call_keys[name]].retry_after_ms >= 1_000


@then(parsers.re(r"(?P<name>[A-Z]) ran (?P<count>\d+) times"))
def _check_run_count(cluster: Any, call_keys: Any, name: str, count: str) -> None:
    request_id = cluster.sent_requests[call_keys[name]].request_id
    assert sum(m.count_runs(request_id) for m in cluster.executors.values()) == int(count)


@then(parsers.parse("{executor} ran {count:d} requests"))
def _check_executor_run_count(cluster: Any, executor: str, count: int) -> None:
    assert len(cluster.executors[executor].runs) == count


@then(parsers.parse("between 1 and {count:d} retries ran"))
def _check_retry_count(cluster: Any, count: int) -> None:
    retries = len(cluster.runs) - len(set(cluster.runs))
    assert 0 < retries <= count


@then(parsers.parse("no request is in flight to {executor}"))
def _check_none_in_flight(cluster: Any, executor: str) -> None:
    assert cluster.in_flight
    assert all(m.dispatch.executor_id != executor for m in cluster.in_flight)


@then(parsers.parse("{count:d} requests are in flight to {executor}"))
def _check_in_flight(cluster: Any, count: int, executor: str) -> None:
    assert sum(m.dispatch.executor_id == executor for m in cluster.in_flight) == count


@then(parsers.parse("h{router:d} is idle"))
def _check_idle(cluster: Any, router: int) -> None:
    assert cluster.routers[router].is_idle()


@then(parsers.parse("h{router:d} has at least {count:d} requests in flight"))
def _check_min_in_flight(cluster: Any, router: int, count: int) -> None:
    assert sum(cluster.routers[router].in_flight_by_executor().values()) >= count


@then(parsers.parse("h{router:d} has at most {count:d} requests in flight"))
def _check_max_in_flight(cluster: Any, router: int, count: int) -> None:
    assert sum(cluster.routers[router].in_flight_by_executor().values()) <= count


@then(parsers.parse("{count:d} executors are ejected"))
def _check_ejected_count(cluster: Any, count: int) -> None:
    executors = cluster.routers[1].tables.executors_by_id.values()
    assert sum(e.health is not ExecutorHealth.HEALTHY for e in executors) == count


def test_each_dispatch_has_a_decision_line(cluster_class: type[Any]) -> None:
    cluster = cluster_class()
    cluster.send(1, None, idempotent=True)
    line = next(d for d in cluster.decisions if d.event == "route")
    assert isinstance(line, LogDecision)
    assert line.fields.keys() >= {
        "request",
        "workspace",
        "reason",
        "candidates",
        "config_version",
        "executor",
        "attempt",
    }

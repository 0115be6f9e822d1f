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

KINDS = {"not run": NotRun, "unknown": Unknown}


when("everything is delivered")(lambda cluster: cluster.settle())
when("the table answers")(lambda cluster: cluster.settle_store())
when(parsers.parse("the claim is {fate}"))(
    lambda cluster, fate: cluster.store(cluster.store_messages[0], fate)
)
when(parsers.parse("{duration:d} ms pass"))(lambda cluster, duration: cluster.advance(duration))
when(parsers.parse("h{router:d} dies"))(lambda cluster, router: cluster.kill_router(router))
when(parsers.parse("h{router:d} is told to stop"))(lambda cluster, router: cluster.drain(router))
when(parsers.parse("{zone} is taken out"))(lambda cluster, zone: cluster.take_zone_out(zone))


@pytest.fixture
def keys() -> dict[str, tuple[int, int]]:
    """The latest sending of each named request."""
    return {}


@pytest.fixture
def world(clusters: type[Any]) -> dict[str, Any]:
    return {"make": clusters}


@pytest.fixture
def cluster(world: dict[str, Any]) -> Any:
    return world["cluster"]


@given(parsers.parse("{routers:d} routers and {executors:d} executors with {slots:d} slots"))
def _start(world: dict[str, Any], routers: int, executors: int, slots: int) -> None:
    world["cluster"] = world["make"](routers, executors, slots)


def change_preset(cluster: Any, **changes: Any) -> None:
    config = cluster.config
    settings = replace(config.settings, **changes)
    cluster.config = replace(config, presets={**config.presets, config.preset: settings})
    for number in cluster.routers:
        cluster.routers[number].config = cluster.config


@given(parsers.parse("a queue of {count:d} requests"))
def _queue(cluster: Any, count: int) -> None:
    change_preset(cluster, request_queue=count)


@given("a retry budget of nothing")
def _budget(cluster: Any) -> None:
    change_preset(cluster, retry_budget_ratio=0.0)


def send(cluster: Any, keys: Any, kind: str, name: str, router: int, **how: Any) -> None:
    own_id = None if kind == "note" else name
    keys[name] = cluster.send(router, own_id, idempotent=kind == "query", **how)


@when(parsers.re(r"(?P<kind>order|query|note) (?P<name>\w) is sent to h(?P<router>\d)( again)?$"))
def _send(cluster: Any, keys: Any, kind: str, name: str, router: str) -> None:
    send(cluster, keys, kind, name, int(router))


@when(parsers.parse("{kind} {name} is sent to h{router:d} within {within:d} ms"))
def _send_within(cluster: Any, keys: Any, kind: str, name: str, router: int, within: int) -> None:
    send(cluster, keys, kind, name, router, within_ms=within)


@when(parsers.parse("{kind} {name} is sent to h{router:d} with another body"))
def _send_other(cluster: Any, keys: Any, kind: str, name: str, router: int) -> None:
    send(cluster, keys, kind, name, router, body=b"other")


@when(parsers.parse("{count:d} queries are sent to h{router:d}"))
def _send_many(cluster: Any, count: int, router: int) -> None:
    for _ in range(count):
        cluster.send(router, None, idempotent=True)


@when(parsers.parse("{count:d} queries are sent to each router"))
def _send_each(cluster: Any, count: int) -> None:
    for router in list(cluster.routers):
        _send_many(cluster, count, router)


@when("every request reaches its executor")
def _reach(cluster: Any) -> None:
    cluster.settle_store()
    for message in [m for m in cluster.on_the_way if m.run is None]:
        cluster.reach(message)


@when("the answers arrive, the last first")
def _reply_reversed(cluster: Any) -> None:
    for message in reversed([m for m in cluster.on_the_way if m.run is not None]):
        cluster.reply(message)


@when("every reply is lost")
def _lose(cluster: Any) -> None:
    for message in [m for m in cluster.on_the_way if m.run is not None]:
        cluster.reply(message, lost=True)


@when("no connection can be made")
def _not_sent(cluster: Any) -> None:
    for message in [m for m in cluster.on_the_way if m.run is None]:
        cluster.not_sent(message)


@when(parsers.parse("{count:d} rounds of attempts are lost"))
def _lose_rounds(cluster: Any, count: int) -> None:
    for _ in range(count):
        _reach(cluster)
        _lose(cluster)


@when("the table goes out")
def _store_out(cluster: Any) -> None:
    cluster.store_unavailable = True


@when("the table comes back")
def _store_back(cluster: Any) -> None:
    cluster.store_unavailable = False


@when(parsers.parse("{hours:d} hours pass"))
def _hours(cluster: Any, hours: int) -> None:
    cluster.now_ms += hours * 3_600_000
    cluster.advance(300)


@then(parsers.parse("the table has {count:d} rows"))
def _rows(cluster: Any, count: int) -> None:
    assert len(cluster.table.rows_by_key) == count


@when(parsers.parse("{executor} is listed as leaving"))
def _list_leaving(cluster: Any, executor: str) -> None:
    cluster.leave(executor, listed=True)


@when(parsers.parse("{executor} starts to leave without notice"))
def _leave(cluster: Any, executor: str) -> None:
    cluster.leave(executor, listed=False)


@when("x1, x2, x3, x4 and x5 fail every attempt for a while")
def _fail_five(cluster: Any) -> None:
    failing = {"x1", "x2", "x3", "x4", "x5"}
    for _ in range(30):
        _send_many(cluster, 2, 1)
        for message in [m for m in cluster.on_the_way if m.run is None]:
            if message.dispatch.executor_id in failing:
                cluster.not_sent(message)
        cluster.advance(10)


@when(parsers.parse("{count:d} requests finish while the routers tell each other"))
def _finish_some(cluster: Any, count: int) -> None:
    for _ in range(count):
        cluster.tell_peers()
        _reach(cluster)
        running = [m for m in cluster.on_the_way if m.run is not None and m.router == 1]
        if running:
            cluster.reply(running[0])
        cluster.advance(120)


@when(parsers.parse("everything but the work of {executor} is delivered"))
def _settle_others(cluster: Any, executor: str) -> None:
    for _ in range(20):
        _reach(cluster)
        for message in list(cluster.on_the_way):
            if message.dispatch.executor_id != executor:
                cluster.reply(message)
        cluster.advance(10)


@when("everything is delivered except for A and B")
def _settle_all_but(cluster: Any, keys: Any, world: dict[str, Any]) -> None:
    hanging = {keys["A"][1], keys["B"][1]}
    held = world.setdefault(
        "held", [m for m in cluster.on_the_way if m.dispatch.call_id in hanging]
    )
    for _ in range(20):
        _reach(cluster)
        for message in list(cluster.on_the_way):
            if message not in held:
                cluster.reply(message)
        cluster.advance(10)


@when("x1 takes 600 ms and the others 50 ms for 25 requests each")
def _lag(cluster: Any) -> None:
    router = cluster.routers[1]
    for executor in router.tables.executors_by_id.values():
        for _ in range(25):
            executor.observe_latency(600.0 if executor.executor_id == "x1" else 50.0)


@when(parsers.parse("{count:d} urgent queries arrive while the slot is passed on"))
def _pass_on(cluster: Any, count: int) -> None:
    for _ in range(count):
        cluster.send(1, None, idempotent=True, within_ms=1_000)
        cluster.advance(50)
        _reach(cluster)
        _reply_reversed(cluster)


@then("A, B and C have their own answers")
def _own_answers(cluster: Any, keys: Any) -> None:
    for name in "ABC":
        assert isinstance(cluster.outcomes[keys[name]], Answered)


@then(parsers.parse("{name} is answered"))
def _answered(cluster: Any, keys: Any, name: str) -> None:
    outcome = cluster.outcomes[keys[name]]
    assert isinstance(outcome, Answered)
    assert not outcome.replayed


@then(parsers.parse("{name} is answered from the record"))
def _replayed(cluster: Any, keys: Any, name: str) -> None:
    outcome = cluster.outcomes[keys[name]]
    assert isinstance(outcome, Answered)
    assert outcome.replayed


@then(parsers.parse("{name} has the outcome {kind} with {code}"))
def _outcome(cluster: Any, keys: Any, name: str, kind: str, code: str) -> None:
    outcome = cluster.outcomes[keys[name]]
    assert isinstance(outcome, KINDS[kind])
    assert outcome.code is ResultCode[code]


@then(parsers.parse("{name} is told when to come back"))
def _retry_after(cluster: Any, keys: Any, name: str) -> None:
    assert cluster.outcomes[keys[name]].retry_after_ms >= 1_000


@then(parsers.re(r"(?P<name>[A-Z]) ran (?P<count>\d+) times"))
def _ran(cluster: Any, keys: Any, name: str, count: str) -> None:
    request_id = cluster.sendings[keys[name]].request_id
    assert sum(m.count_runs(request_id) for m in cluster.executors.values()) == int(count)


@then(parsers.parse("{executor} ran {count:d} requests"))
def _executor_ran(cluster: Any, executor: str, count: int) -> None:
    assert len(cluster.executors[executor].runs) == count


@then(parsers.parse("at most {count:d} requests ran again"))
def _ran_again(cluster: Any, count: int) -> None:
    again = len(cluster.runs) - len(set(cluster.runs))
    assert 0 < again <= count


@then(parsers.parse("nothing is on the way to {executor}"))
def _nothing_on_the_way(cluster: Any, executor: str) -> None:
    assert cluster.on_the_way
    assert all(m.dispatch.executor_id != executor for m in cluster.on_the_way)


@then(parsers.parse("{count:d} requests are on the way to {executor}"))
def _on_the_way(cluster: Any, count: int, executor: str) -> None:
    assert sum(m.dispatch.executor_id == executor for m in cluster.on_the_way) == count


@then(parsers.parse("h{router:d} is idle"))
def _idle(cluster: Any, router: int) -> None:
    assert cluster.routers[router].is_idle()


@then(parsers.parse("h{router:d} has at least {count:d} requests in flight"))
def _in_flight(cluster: Any, router: int, count: int) -> None:
    assert sum(cluster.routers[router].in_flight_by_executor().values()) >= count


@then(parsers.parse("h{router:d} has at most {count:d} requests in flight"))
def _in_flight_at_most(cluster: Any, router: int, count: int) -> None:
    assert sum(cluster.routers[router].in_flight_by_executor().values()) <= count


@then(parsers.parse("{count:d} executors are ejected"))
def _ejected(cluster: Any, count: int) -> None:
    executors = cluster.routers[1].tables.executors_by_id.values()
    assert sum(e.health is not ExecutorHealth.HEALTHY for e in executors) == count


def test_each_route_has_a_decision_line(clusters: type[Any]) -> None:
    cluster = clusters()
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

"""The assignment of executors to relays: stable, weighted and limited in its moves."""

from __future__ import annotations

from jacinthreel_node._relays._assignment import (
    MAX_MOVES_PER_ROUND,
    MOVE_READY_MS,
    AssignedExecutor,
    RelayCandidate,
    assign,
    select_relays,
)


def relay(index: int, zone: str = "z", weight: int = 100, ready_ms: int = 0) -> RelayCandidate:
    return RelayCandidate(index, f"n{index}", zone, weight, 1_000, ready_ms, False)


def executors(count: int, zone: str = "z") -> list[AssignedExecutor]:
    return [AssignedExecutor(f"e{index}", zone, None) for index in range(count)]


def settled(sessions: dict[str, int]) -> list[AssignedExecutor]:
    return [AssignedExecutor(key, "z", session) for key, session in sessions.items()]


def test_lost_relay_moves_only_its_own_executors() -> None:
    # New connections to executors are expensive, so other executors must stay where they are.
    relays = [relay(index) for index in range(8)]
    before = assign(executors(400), [], relays, 0).session_by_executor
    left = [item for item in relays if item.session != 3]
    after = assign(executors(400), [], left, 0).session_by_executor
    assert {key for key in before if before[key] != after[key]} == {
        key for key, session in before.items() if session == 3
    }


def test_shares_follow_the_weights() -> None:
    relays = [relay(1, weight=40), relay(2, weight=200)]
    sessions = list(assign(executors(1_200), [], relays, 0).session_by_executor.values())
    assert 130 < sessions.count(1) < 270


def test_relays_of_the_own_zone_are_preferred_while_they_have_room() -> None:
    near = relay(1, "z")
    near.max_executors = 5
    moves = assign(executors(20), [], [near, relay(2, "y", weight=1_000)], 0)
    assert list(moves.session_by_executor.values()).count(1) == 5
    assert len(moves.session_by_executor) == 20


def test_new_relay_attracts_few_executors_at_a_time_and_only_after_a_while() -> None:
    old = [relay(1), relay(2)]
    sessions = assign(executors(400), [], old, 0).session_by_executor
    relays = [*old, relay(3, weight=300, ready_ms=10_000)]
    early = assign([], settled(sessions), relays, 10_000 + MOVE_READY_MS - 1)
    assert early.session_by_executor == {}
    later = assign([], settled(sessions), relays, 10_000 + MOVE_READY_MS)
    assert list(later.session_by_executor.values()) == [3] * MAX_MOVES_PER_ROUND


def test_relay_that_did_not_reach_an_executor_does_not_get_it_again() -> None:
    relays = [relay(1, weight=1_000), relay(2)]
    avoiding = [AssignedExecutor("e1", "z", None, avoided_host="n1")]
    assert assign(avoiding, [], relays, 0).session_by_executor == {"e1": 2}


def test_only_as_many_relays_are_selected_as_the_executors_need() -> None:
    relays = [relay(index, f"z{index % 3}", weight=index) for index in range(30)]
    relays[29].is_draining = True
    chosen = select_relays(relays, {"z0": 40, "z1": 20, "z9": 20})
    assert sorted(item.session for item in chosen) == [24, 26, 27, 28]

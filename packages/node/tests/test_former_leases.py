"""Tests of the latest lease ends at executors that the current owner has not reached."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jacinthreel_common import LeasesLeft
from jacinthreel_node._former_leases import MAX_STORED_EXECUTORS, FormerLeases, FormerOwner
from jacinthreel_node._records import EarlierLeases, GrantsRow


def test_default_end_applies_to_all_executors_without_an_answer() -> None:
    assert FormerLeases(17_000, 5_000).end_ms("e1") == 17_000


def test_answer_sets_the_ends_of_listed_executors_and_of_all_others() -> None:
    leases = FormerLeases(17_000, 5_000)
    leases.apply_response(LeasesLeft({"e1": 2_000}, 5_000, True), 1_000)
    assert (leases.end_ms("e1"), leases.end_ms("e2")) == (3_000, 6_000)
    assert leases.latest_end_ms == 6_000


def test_handover_combines_own_lease_ends_with_those_of_former_owners() -> None:
    leases = FormerLeases(17_000, 5_000)
    leases.apply_response(LeasesLeft({"e1": 2_000, "e2": 9_000}, 5_000, True), 1_000)
    remaining = leases.remaining({"e2": 4_500}, 4_000)
    assert remaining == LeasesLeft({"e1": 0, "e2": 500}, 2_000, True)


def test_permissions_of_relays_extend_the_default_end_until_they_are_excluded() -> None:
    # Relays go on renewing after the former owner has stopped, also where it answered.
    leases = FormerLeases(17_000, 5_000, relay_extension_ms=2_500)
    assert leases.end_ms("e1") == 19_500
    leases.apply_response(LeasesLeft({"e2": 2_000}, 5_000, True), 1_000)
    assert (leases.end_ms("e1"), leases.end_ms("e2")) == (8_500, 3_000)
    leases.exclude_relays()
    assert (leases.end_ms("e1"), leases.latest_end_ms) == (6_000, 6_000)


@given(st.integers(0, 20_000), st.dictionaries(st.sampled_from("abc"), st.integers(0, 30_000)))
def test_answers_never_extend_a_lease_end(
    others_ms: int, left_ms_by_executor: dict[str, int]
) -> None:
    leases = FormerLeases(17_000, 5_000)
    before = {key: leases.end_ms(key) for key in "abcd"}
    leases.apply_response(LeasesLeft(left_ms_by_executor, others_ms, True), 500)
    assert all(leases.end_ms(key) <= before[key] for key in before)


def make_leases(earlier: EarlierLeases, relay_extension_ms: int = 0) -> FormerLeases:
    """Returns bounds after a takeover at 0, from an owner whose row was read then."""
    former = FormerOwner("h", 3, True, earlier, 0)
    return FormerLeases(17_000, 5_000, relay_extension_ms, former)


def test_stored_bounds_beyond_the_longest_are_cut() -> None:
    leases = make_leases(EarlierLeases({"e1": 2**53}, 2**53))
    leases.record_stop(0)
    assert (leases.end_ms("e1"), leases.end_ms("e2")) == (17_000, 17_000)


def test_relays_of_a_stopped_owner_renew_beyond_its_end() -> None:
    leases = make_leases(EarlierLeases({"e1": 1_000}, 0), relay_extension_ms=2_500)
    leases.record_stop(0)
    assert (leases.end_ms("e1"), leases.end_ms("e2")) == (7_500, 7_500)


def test_one_bound_is_stored_if_many_executors_have_not_answered() -> None:
    leases = FormerLeases(17_000, 5_000)
    executor_ids = [f"e{index}" for index in range(MAX_STORED_EXECUTORS + 1)]
    stored = leases.remaining_of_earlier_owners(executor_ids, lambda executor_id: False, 2_000)
    assert stored == EarlierLeases({}, 15_000)


def test_one_bound_for_many_covers_executors_that_answered_without_a_lease() -> None:
    # Guards against the end of a run at an executor whose lease of an earlier owner still holds.
    leases = FormerLeases(17_000, 5_000)
    executor_ids = [f"e{index}" for index in range(MAX_STORED_EXECUTORS + 1)]
    for executor_id in executor_ids:
        leases.record_answer(executor_id, 2_000)
    stored = leases.remaining_of_earlier_owners(executor_ids, lambda executor_id: False, 2_000)
    assert stored == EarlierLeases({}, 5_000)


@pytest.mark.parametrize("has_stopped", [True, False])
def test_only_executors_that_the_former_owner_granted_leases_wait_for_them(
    has_stopped: bool,
) -> None:
    earlier = EarlierLeases({"e1": 1_000, "e2": 2_000}, 300)
    former = FormerOwner("h", 3, has_stopped, earlier, 0, 5_000, True)
    leases = FormerLeases(17_000, 5_000, former=former)
    leases.record_takeover(0)
    assert [leases.end_ms(key) for key in ("e1", "e2", "e3", "e4")] == [5_000] * 4
    leases.record_grants(GrantsRow(3, 1, ["e2", "e3"]))
    leases.record_takeover(0)
    ends = [leases.end_ms(key) for key in ("e1", "e2", "e3", "e4")]
    assert ends == [1_000, 5_000, 5_000, 300]


@pytest.mark.parametrize(
    ("row", "records_grants", "end_ms"),
    [
        (None, True, 5_000),
        (GrantsRow(2, 1, []), True, 5_000),
        (GrantsRow(3, 1, []), True, 300),
        (GrantsRow(3, 1, None), True, 5_000),
        (GrantsRow(4, 1, []), True, 5_000),
        (GrantsRow(3, 1, []), False, 5_000),
        (None, False, 5_000),
    ],
    ids=[
        "none",
        "earlier owner",
        "former owner",
        "any executor",
        "later owner",
        "earlier version",
        "no record",
    ],
)
def test_grants_are_believed_only_of_the_former_owner(
    row: GrantsRow | None, records_grants: bool, end_ms: int
) -> None:
    former = FormerOwner("h", 3, True, EarlierLeases({}, 300), 0, 5_000, records_grants)
    leases = FormerLeases(17_000, 5_000, former=former)
    leases.record_grants(row)
    leases.record_takeover(0)
    assert leases.end_ms("e1") == end_ms

"""The leases of earlier owners, at executors that the present one has not reached."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jacinthreel_common import LeasesLeft
from jacinthreel_node._former_leases import FormerLeases


def test_without_an_answer_the_longest_time_holds_everywhere() -> None:
    assert FormerLeases(17_000).end_ms("e1") == 17_000


def test_answer_holds_for_the_executors_that_it_names_and_for_the_others() -> None:
    leases = FormerLeases(17_000)
    leases.apply_response(LeasesLeft({"e1": 2_000}, 5_000), 1_000)
    assert (leases.end_ms("e1"), leases.end_ms("e2")) == (3_000, 6_000)
    assert leases.latest_end_ms == 6_000


def test_next_owner_is_told_of_reached_executors_and_of_those_of_earlier_owners() -> None:
    leases = FormerLeases(17_000)
    leases.apply_response(LeasesLeft({"e1": 2_000, "e2": 9_000}, 5_000), 1_000)
    left = leases.remaining({"e2": 4_500}, 4_000)
    assert left == LeasesLeft({"e1": 0, "e2": 500}, 2_000)


@given(st.integers(0, 20_000), st.dictionaries(st.sampled_from("abc"), st.integers(0, 30_000)))
def test_answers_never_lengthen_what_is_known(others_ms: int, left: dict[str, int]) -> None:
    leases = FormerLeases(17_000)
    before = {key: leases.end_ms(key) for key in "abcd"}
    leases.apply_response(LeasesLeft(left, others_ms), 500)
    assert all(leases.end_ms(key) <= before[key] for key in before)

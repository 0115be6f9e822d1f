"""Property and unit tests of the result codes, records, codecs and timers."""

from __future__ import annotations

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from jacinthreel_common import (
    MESSAGES_BY_KIND,
    RESULT_TABLE,
    CellLevel,
    Config,
    Envelope,
    GuaranteedShape,
    PresetName,
    ResultCode,
    TimerService,
    Workspace,
    ZoneOutage,
    decode_json,
    encode_json,
    pack,
    unpack,
)

property_test_settings = settings(derandomize=True, deadline=None, database=None, max_examples=60)
names = st.from_regex(r"[a-z0-9][a-z0-9._-]{0,10}", fullmatch=True)
shapes = st.builds(GuaranteedShape, st.sampled_from(CellLevel), st.integers(1, 10_000))
workspaces = st.builds(Workspace, names, st.lists(shapes, max_size=3), st.integers(1, 100))
outages = st.builds(ZoneOutage, names, st.text(max_size=9), st.integers(0, 2**53))
configs = st.builds(
    Config,
    version=st.integers(0, 2**53),
    preset=st.sampled_from(PresetName),
    workspaces=st.dictionaries(names, workspaces, max_size=3),
    zones_out=st.dictionaries(names, outages, max_size=2),
    summary=st.text(max_size=9),
)


def test_every_result_code_has_a_table_entry() -> None:
    assert set(RESULT_TABLE) == set(ResultCode)


def test_every_message_class_has_slots_and_is_keyed_by_its_name() -> None:
    for kind, message_class in MESSAGES_BY_KIND.items():
        assert message_class.__name__ == kind
        assert hasattr(message_class, "__slots__")


@property_test_settings
@given(configs)
def test_config_round_trips_through_msgpack_and_json(config: Config) -> None:
    assert unpack(Config, pack(config)).unwrap() == config
    assert decode_json(Config, encode_json(config)).unwrap() == config


@property_test_settings
@given(st.binary(max_size=200))
def test_unpack_never_raises(body: bytes) -> None:
    result = unpack(Envelope, body)
    assert is_successful(result) or result.failure().code != ResultCode.OK


def test_unpack_rejects_deeply_nested_msgpack() -> None:
    body = b"\x91" * 100_000 + b"\xc0"
    assert unpack(Envelope, body).failure().code is ResultCode.MALFORMED_BODY


def test_unpack_rejects_truncated_msgpack() -> None:
    body = msgpack.packb({"version": 1, "kind": "x", "call_id": 0, "body": {}})
    assert unpack(Envelope, body[:-1]).failure().code is ResultCode.MALFORMED_BODY


@property_test_settings
@given(
    st.lists(st.tuples(st.integers(1, 50), st.booleans()), max_size=8),
    st.lists(st.integers(0, 40), max_size=20),
)
def test_timer_callbacks_run_in_time_order_and_never_early(
    periods: list[tuple[int, bool]], steps: list[int]
) -> None:
    timers = TimerService()
    runs: list[tuple[int, int]] = []
    for index, (period_ms, repeats) in enumerate(periods):
        schedule = timers.every if repeats else timers.once
        schedule(period_ms, lambda now_ms, index=index: runs.append((now_ms, index)), 0)
    now_ms = 0
    for step_ms in steps:
        now_ms += step_ms
        timers.advance(now_ms)
        due_ms = timers.next_due_ms()
        assert due_ms is None or due_ms > now_ms
    for run_ms, index in runs:
        assert run_ms >= periods[index][0]
    assert [run_ms for run_ms, _ in runs] == sorted(run_ms for run_ms, _ in runs)


def test_cancelled_timer_never_runs() -> None:
    timers = TimerService()
    runs: list[int] = []
    timers.every(10, runs.append, 0).cancel()
    timers.advance(100)
    assert runs == []
    assert timers.next_due_ms() is None

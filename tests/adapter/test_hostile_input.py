"""Input that a decoder accepts or chokes on, and what a decoded value reaches afterwards.

Each case guards against an exception that ends an ownership, and that of each next owner, which
reads the same row.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from returns.result import Failure, Success

from jacinthreel_common import MALFORMED_INPUT, convert_stored
from jacinthreel_daemon.plumbing import HttpFailure, HttpPool, HttpReply
from jacinthreel_node import Row, UnusableRow
from jacinthreel_node._records import (
    decode_job,
    decode_lease,
    decode_owner,
    decode_speeds,
    encode_record,
)
from jacinthreel_node._relays._messages import decode_orders, decode_report
from jacinthreel_platform._boot_file import decode_settings
from jacinthreel_platform._executors import (
    _decode_report,
    _decode_start_response,
    _refusal_fault,
)
from jacinthreel_platform._job_bodies import decode_job_body
from jacinthreel_platform._platform_rows import RowTranslator
from jacinthreel_platform._store import _decode_commit, _decode_conflict, _decode_rows
from jacinthreel_steps import (
    ExecutorListing,
    JobRecord,
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    decode_progress_state,
    progress_write_id,
)

DEPTH = 3_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
SERVER = {
    "service": "s", "addr": "10.0.0.9:8080", "zone": "z", "state": "ready", "born": 9,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 8}, "labels": ["a", "r"],
}  # fmt: skip
DEEP_JSON = {
    "in a field that no type names": b'{"unnamed":' + NESTED + b"}",
    "instead of the document": NESTED,
    "never closed": b'{"a":' * DEPTH,
    "in named fields": b'{"running":%b,"ended":[%b],"rows":%b,"tenants":[{"max_count":%b}],'
    b'"services":%b,"reason":%b,"steps":%b,"labels":%b}' % ((NESTED,) * 8),
}
DEEP_MSGPACK = {
    "arrays": b"\x91" * DEPTH + b"\x90",
    "maps": b"\x81\xa1q" * DEPTH + b"\x80",
    "in a field that no type names": b"\x81\xa1q" + b"\x91" * DEPTH + b"\x90",
}


def decode_config(value: bytes) -> Any:
    return RowTranslator().decode_operator_row(Row("op", "config", value, 1))


def decode_listing(value: bytes, key: str = "i-1") -> Any:
    return RowTranslator().decode_executor_listing(Row("servers", key, value, 1))


JSON_DECODERS: list[Callable[[bytes], Any]] = [
    decode_config, decode_listing, decode_job_body, _decode_report, _decode_rows, _decode_commit,
    _decode_conflict, lambda body: _decode_start_response(HttpReply(409, body)),
    lambda body: _refusal_fault(HttpReply(409, body)),
]  # fmt: skip
MSGPACK_DECODERS: list[Callable[[bytes], Any]] = [
    decode_job, decode_lease, decode_owner, decode_speeds, decode_orders, decode_report,
    decode_progress_state, progress_write_id,
]  # fmt: skip


@pytest.mark.parametrize("value", DEEP_JSON.values(), ids=list(DEEP_JSON))
@pytest.mark.parametrize("decode", JSON_DECODERS)
def test_deeply_nested_json_is_malformed_input(
    decode: Callable[[bytes], Any], value: bytes
) -> None:
    decode(value)


@pytest.mark.parametrize("value", DEEP_MSGPACK.values(), ids=list(DEEP_MSGPACK))
@pytest.mark.parametrize("decode", MSGPACK_DECODERS)
def test_deeply_nested_record_is_malformed_input(
    decode: Callable[[bytes], Any], value: bytes
) -> None:
    assert decode(value) is None


def test_settings_file_that_is_nested_deeply_gives_a_documented_error() -> None:
    with pytest.raises(MALFORMED_INPUT):
        decode_settings(DEEP_JSON["in a field that no type names"])


def test_executor_entry_with_a_deeply_nested_field_gives_a_reason() -> None:
    value = json.dumps(SERVER).encode()[:-1] + b', "seq": ' + NESTED + b"}"
    decoded = decode_listing(value)
    assert isinstance(decoded, UnusableRow)
    assert decoded.reason


@pytest.mark.parametrize("executor_id", ["i\n1", "i\r1", "\u65e5", "i 1", "i\x001", "\x7f", ""])
def test_executor_id_that_no_header_can_hold_names_no_executor(executor_id: str) -> None:
    decoded = decode_listing(json.dumps(SERVER).encode(), executor_id)
    assert isinstance(decoded, UnusableRow)
    assert decoded.reason


@pytest.mark.parametrize("host", ["h", "a..b", "x" * 300, "10.0.0", "10.0.0.9\n", "\u0661.1.1.1"])
def test_executor_address_that_is_no_ip_address_names_no_executor(host: str) -> None:
    decoded = decode_listing(json.dumps({**SERVER, "addr": f"{host}:8080"}).encode())
    assert isinstance(decoded, UnusableRow)
    assert decoded.reason
    assert isinstance(decode_listing(json.dumps(SERVER).encode()), ExecutorListing)


@pytest.mark.parametrize("value", ["a\nb", "a\rb", "\u65e5"])
def test_request_with_a_header_that_cannot_be_encoded_fails_unsent(value: str) -> None:
    async def run() -> Any:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            pool = HttpPool("127.0.0.1", port, 1_000)
            outcome = await pool.post("/x", b"{}", 200, headers={"X-Expect-Instance": value})
            pool.close()
            await asyncio.sleep(0)
            return outcome

    outcome = asyncio.run(run())
    assert isinstance(outcome, Failure)
    assert isinstance(outcome.failure(), HttpFailure)
    assert not outcome.failure().sent


def test_malformed_fields_of_a_report_cost_no_other_entry_and_no_run() -> None:
    run, end = "5c0e7a21d94b36f8.0.1.17", "5c0e7a21d94b36f8.0.1.18"
    deep: list[Any] = []
    for _ in range(500):
        deep = [deep]
    report = {
        "clock_ms": 5,
        "running": [None, {}, 7, [run, 2], [run, 3, deep, deep], [run, 4, "c" * 9_999, 50]],
        "ended": [{}, [1, end, 2, "done"], [2, end, deep, "done"], [3, deep, 3, "done"]],
    }
    decoded = _decode_report(json.dumps(report).encode())
    assert isinstance(decoded, Success)
    response = decoded.unwrap()
    assert [(item.run_id.number, item.checkpoint) for item in response.running] == [
        (2, ""),
        (3, ""),
        (4, ""),
    ]
    assert [item.sequence for item in response.ended] == [1]


@pytest.mark.parametrize(("count", "may_omit"), [(499, False), (500, True)])
def test_report_with_as_many_ends_as_fit_may_omit_others(count: int, may_omit: bool) -> None:
    ended = [[n, f"5c0e7a21d94b36f8.0.1.{n}", 1, "done", ""] for n in range(1, count + 1)]
    response = _decode_report(json.dumps({"clock_ms": 5, "ended": ended}).encode()).unwrap()
    assert response.may_omit_ends is may_omit
    assert response.to_report(1).may_omit_ends is may_omit


def test_entry_that_names_a_task_but_no_run_leaves_that_task_unclear() -> None:
    names = [f"5c0e7a21d94b36f8.0.1.{index}" for index in range(3)]
    running = [[names[0], "x"], [names[1]], ["?", 1], [names[2], 1]]
    response = _decode_report(json.dumps({"clock_ms": 5, "running": running}).encode()).unwrap()
    assert {task.task_index for task in response.unclear_tasks} == {0, 1}
    assert [run.run_id.task.task_index for run in response.running] == [2]


STEP = StepSpec(1, Resources(1, 1, 1))


def record(terms: QueueTerms, *steps: StepSpec) -> bytes:
    return encode_record(JobRecord("a", terms, "w", JobSpec("", steps), 1))


def test_stored_job_that_cannot_be_scheduled_is_unreadable() -> None:
    terms = QueueTerms("q", "s", 0, 3, 2.0, 1_000)
    assert decode_job(record(terms, STEP)) is not None
    assert decode_job(record(terms)) is None
    assert decode_job(record(terms, StepSpec(10**9, STEP.shape))) is None
    assert decode_job(record(terms, StepSpec(1, STEP.shape, after=(5,)))) is None
    assert decode_job(record(terms, StepSpec(1, Resources(-1, 0, 0)))) is None
    assert decode_job(record(QueueTerms("q", "s", 0, 3, float("nan"), 1), STEP)) is None


def test_stored_numbers_that_cannot_be_stored_again_are_unreadable() -> None:
    too_large = 2**64 - 1
    row = ("w", 2, [("i", 1)], [(0, [(too_large, 0, 0, False, "")], [])])
    assert decode_progress_state(msgspec.msgpack.encode(row)) is None
    owner = {"epoch": 1, "host_id": "h", "address": "10.0.0.1", "port": 70_000, "nonce": "n"}
    assert decode_owner(msgspec.msgpack.encode(owner)) is None


def test_stored_value_that_is_nested_deeply_is_invalid() -> None:
    data: Any = 1
    for _ in range(5_000):
        data = [data]
    assert convert_stored(list[int], data) is None

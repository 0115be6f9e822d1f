"""Random input of the platform: bodies, headers, replies, rows and the settings file.

Guards against exceptions other than the documented ones, and against decoded values that a later
step can't encode, store or calculate with.  Such an exception ends an ownership, and that of each
next owner, which reads the same input.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from tornado import httputil

from jacinthreel_common import Fault
from jacinthreel_daemon.plumbing import HttpReply
from jacinthreel_node import PolicyPut, Row, UnusableRow, ZoneChanged
from jacinthreel_platform._boot_file import decode_settings, parse_address
from jacinthreel_platform._caller_server import _api_key, _deadline_ms, _method_label
from jacinthreel_platform._executors import (
    _decode_report,
    _decode_start_response,
    _refusal_fault,
)
from jacinthreel_platform._job_bodies import decode_job_body
from jacinthreel_platform._platform_rows import RowTranslator
from jacinthreel_platform._store import _decode_commit, _decode_conflict, _decode_rows
from jacinthreel_steps import ExecutorListing, JobRecord, QueueTerms, objective_ms

TERMS = QueueTerms("q", "s", 1, 3, 3.0, 1_000)
MAX_VERSION = 2**63 - 1
ODD = st.sampled_from(
    [None, True, -1, 0, 2**53 + 1, 2**63, 2**64, 10**30, 10**400, -(2**63) - 1]
    + [0.5, -2.5, 1e300, float("inf"), float("-inf"), "", "a:b", "a:0", "a:99999", "\ud800", [], {}]
)
JUNK = st.one_of(ODD, ODD, st.lists(ODD, max_size=3), st.text(max_size=4), st.floats())
# From CI's fixed examples, or that many fresh ones for `make fuzz`.
EXAMPLES = os.environ.get("EXAMPLES")
fuzz = settings(
    derandomize=EXAMPLES is None, deadline=None, database=None, max_examples=int(EXAMPLES or 500)
)

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r", "host": "h", "path_prefix": "/q/", "service": "s", "priority": 0,
         "max_attempts": 3, "stretch": 2.5, "target_latency_ms": 900.5}
    ],
    "tenants": [{"name": "w", "api_keys": ["k1"], "guaranteed": {"gpu": 32}, "weight": 2.0,
                 "max_count": {"cpu": 9, "mem_mb": 9, "gpu": 9}}],
    "limits": {"max_body_bytes": 1000},
}  # fmt: skip
SERVER = {
    "service": "s", "addr": "10.0.0.9:8080", "zone": "z", "state": "draining", "born": 99,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 8}, "labels": ["a", "r"],
    "remaining_ms": 900,
}  # fmt: skip
JOB = {
    "spec": "x",
    "steps": [{"count": 2, "cpu": 500, "gpu": 1, "gang": True, "estimate_ms": 9},
              {"count": 1, "after": [0], "requires": "a", "anti_affinity": 1}],
}  # fmt: skip
REPORT = {
    "clock_ms": 5, "born": 3, "running": [["5c0e7a21d94b36f8.0.1.17", 1, "c", 50]],
    "ended": [[1, "5c0e7a21d94b36f8.0.1.17", 1, "done", "c"]],
}  # fmt: skip
ROWS = {
    "rows": [{"table": "progress", "key": "k", "value": "eA==", "ver": 3, "deleted": False}],
    "ver": 4,
}  # fmt: skip
BOOT = {
    "node": "n", "ip": "10.0.0.1", "zone": "z",
    "listen": {"front": "10.0.0.1:8521", "ready": "10.0.0.1:8523"},
    "port_range": [7000, 7015], "limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 10},
    "bounds": {"hold_max_ms": 10_000, "grace_s": 6, "stop_ms": 900.0},
    "platform": {"addr": "10.0.0.2:80"},
}  # fmt: skip


def mutated(message: Any) -> st.SearchStrategy[bytes]:
    """Returns the message with one value replaced by junk, or any bytes."""
    paths = list(find_paths(message, ()))

    def replace(path: tuple[Any, ...], junk: Any) -> bytes:
        copy = json.loads(json.dumps(message))
        parent = copy
        for key in path[:-1]:
            parent = parent[key]
        parent[path[-1]] = junk
        text = json.dumps(copy).replace("NaN", "1e999").replace("Infinity", "1e999")
        return text.encode()

    junk = st.builds(replace, st.sampled_from(paths), JUNK)
    return st.one_of(junk, junk, junk, st.binary(max_size=8))


def find_paths(value: Any, path: tuple[Any, ...]) -> list[tuple[Any, ...]]:
    items: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    return [
        found for key, item in items for found in [(*path, key), *find_paths(item, (*path, key))]
    ]


def encode(value: object) -> None:
    """Encodes a value as the store's rows and the streams between nodes do."""
    msgspec.msgpack.encode(value)
    msgspec.json.encode(value)


@fuzz
@given(mutated(CONFIG))
def test_operator_row_gives_a_usable_policy_or_a_reason(value: bytes) -> None:
    event = RowTranslator().decode_operator_row(Row("op", "config", value, 1))
    if isinstance(event, UnusableRow):
        assert event.reason
        return
    assert isinstance(event, PolicyPut)
    for route in event.policy.routes:
        encode(route.queue)
        spec = decode_job_body(json.dumps(JOB).encode()).unwrap()
        round(objective_ms(spec, route.queue))
    encode((event.policy.version, event.policy.guaranteed_accelerators_by_workspace))
    encode((event.policy.quota_by_workspace, event.policy.weight_by_workspace))


@fuzz
@given(st.text(max_size=20), st.binary(max_size=8) | st.none())
def test_operator_row_with_any_key_is_decoded(key: str, value: bytes | None) -> None:
    event = RowTranslator().decode_operator_row(Row("op", key, value, 1))
    assert isinstance(event, UnusableRow | ZoneChanged)


@fuzz
@given(mutated(SERVER))
def test_executor_row_gives_a_usable_listing_or_no_listing(value: bytes) -> None:
    listing = RowTranslator().decode_executor_listing(Row("servers", "i-1", value, 1))
    if isinstance(listing, ExecutorListing):
        assert 0 < parse_address(listing.address)[1] < 2**16
        encode((listing.incarnation, listing.capacity, listing.remaining_ms))
        assert listing.capacity.cpu_milli >= 0


@fuzz
@given(mutated(JOB))
def test_job_body_gives_a_storable_job_or_a_numbered_code(body: bytes) -> None:
    outcome = decode_job_body(body)
    if isinstance(outcome, Success):
        encode(JobRecord("5c0e7a21d94b36f8", TERMS, "w", outcome.unwrap(), 1))
    else:
        assert isinstance(outcome.failure(), Fault)


@fuzz
@given(mutated(REPORT))
def test_report_gives_usable_runs_or_a_fault(body: bytes) -> None:
    outcome = _decode_report(body)
    if isinstance(outcome, Success):
        report = outcome.unwrap()
        encode(report)
        assert all(0 <= run.percent <= 100 for run in report.running)


@fuzz
@given(st.integers(100, 599), mutated({"reason": "fence"}))
def test_refusal_of_an_executor_never_raises(status: int, body: bytes) -> None:
    _decode_start_response(HttpReply(status, body))
    _refusal_fault(HttpReply(status, body))


@fuzz
@given(mutated(ROWS))
def test_reply_of_the_store_gives_rows_with_usable_versions_or_a_fault(body: bytes) -> None:
    decoders: list[Callable[[bytes], Any]] = [_decode_commit, _decode_conflict, _decode_rows]
    for decode in decoders:
        outcome = decode(body)
        if isinstance(outcome, Success):
            encode(outcome.unwrap())
        else:
            assert isinstance(outcome.failure(), Fault)


@fuzz
@given(mutated(BOOT))
def test_settings_file_gives_usable_settings_or_a_documented_error(data: bytes) -> None:
    try:
        decoded = decode_settings(data)
    except (msgspec.DecodeError, ValueError):
        return
    assert 0 < decoded.lease_limits.shortest_ms <= decoded.lease_limits.longest_ms
    assert decoded.stop_grace_ms >= 0
    assert decoded.cores >= 0
    for address in (decoded.caller_address, decoded.store_address, decoded.stream_address):
        assert 0 < address[1] < 2**16


@fuzz
@given(st.text(max_size=12), st.text(max_size=12))
def test_headers_of_callers_never_raise(deadline: str, authorization: str) -> None:
    headers = {"X-Deadline-Ms": deadline, "Authorization": authorization}
    request = cast(httputil.HTTPServerRequest, SimpleNamespace(headers=headers))
    assert 0 <= _deadline_ms(request) < 10**9
    _api_key(request)


@fuzz
@given(st.text(max_size=12))
def test_methods_of_callers_do_not_add_metrics(method: str) -> None:
    assert _method_label(method) in {"GET", "POST", "DELETE", "other"}

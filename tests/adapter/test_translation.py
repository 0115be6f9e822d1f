"""Tests how the adapter decodes valid and malformed messages of the platform."""

from __future__ import annotations

import json
from typing import Any

import pytest
from returns.result import Success
from tornado import httputil

from jacinthreel_common import ResultCode
from jacinthreel_daemon.plumbing import HttpReply
from jacinthreel_node import PolicyPut, PolicyView, Row, UnusableRow, ZoneChanged
from jacinthreel_platform._boot_file import decode_settings
from jacinthreel_platform._caller_server import (
    DEADLINE_HEADER,
    DEFAULT_DEADLINE_MS,
    _deadline_ms,
)
from jacinthreel_platform._executors import (
    _decode_report,
    _decode_start_response,
    parse_task_name,
)
from jacinthreel_platform._job_bodies import decode_job_body
from jacinthreel_platform._platform_rows import RowTranslator
from jacinthreel_steps import EndReason, ExecutorListing, LeaseLimits, Resources, StartOutcome

ROUTE = {"name": "r", "host": "h", "path_prefix": "/q/", "service": "s", "priority": 0}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [ROUTE],
    "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "guaranteed": {"gpu": 32}}],
    "limits": {"max_body_bytes": 1000},
    "a_new_field": {},
}
SERVER: dict[str, Any] = {
    "service": "s",
    "addr": "10.0.0.9:8080",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 8},
    "labels": ["a", "r1-3"],
    "born": 99,
}
JOB: dict[str, Any] = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "gpu": 1, "gang": True}]}


def row(key: str, value: object) -> Row:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Row("t", key, data, 3)


def test_configuration_is_decoded_and_unknown_fields_are_ignored() -> None:
    event = RowTranslator().decode_operator_row(row("config", CONFIG))
    assert isinstance(event, PolicyPut)
    assert event.policy.version == 7
    assert event.policy.workspace_by_key == {"k1": "w", "k2": "w"}
    assert event.policy.guaranteed_accelerators_by_workspace == {"w": 32}
    assert event.policy.max_body_bytes == 1000


def test_quota_and_weight_are_decoded_and_zero_is_no_limit() -> None:
    quota = {"cpu": 4_000, "mem_mb": 0, "gpu": 2}
    tenants = [{"name": "w", "weight": 2.5, "max_count": quota}, {"name": "free", "max_count": {}}]
    event = RowTranslator().decode_operator_row(row("config", {**CONFIG, "tenants": tenants}))
    assert isinstance(event, PolicyPut) and event.ignored_values == ()
    view = PolicyView()
    view.apply_if_newer(event.policy)
    assert view.scheduling_policy().quota_by_workspace == {"w": Resources(4_000, 0, 2)}
    assert view.scheduling_policy().weight_by_workspace == {"w": 2.5}


BAD_NUMBERS = ["-1", "NaN", "-Infinity", "1e999", '"9"', "true", "[]", "1" + "0" * 30, "9" * 5000]


@pytest.mark.parametrize("text", [*BAD_NUMBERS, "0"])
def test_bad_weight_is_absent_and_the_rest_of_the_configuration_applies(text: str) -> None:
    value = json.dumps({**CONFIG, "tenants": [{"name": "w", "weight": "?"}]})
    event = RowTranslator().decode_operator_row(row("config", value.replace('"?"', text).encode()))
    assert isinstance(event, PolicyPut) and len(event.ignored_values) == 1
    assert event.policy.weight_by_workspace == {} and event.policy.version == 7


@pytest.mark.parametrize("text", BAD_NUMBERS)
def test_bad_amount_of_a_quota_is_no_limit_and_the_others_apply(text: str) -> None:
    quota = {"cpu": 4_000, "gpu": "?"}
    value = json.dumps({**CONFIG, "tenants": [{"name": "w", "max_count": quota}]})
    event = RowTranslator().decode_operator_row(row("config", value.replace('"?"', text).encode()))
    assert isinstance(event, PolicyPut) and len(event.ignored_values) == 1
    assert event.policy.quota_by_workspace == {"w": Resources(4_000, 0, 0)}


@pytest.mark.parametrize("value", [b"\xff", b"{}", b"[1]", json.dumps({"version": "x"}).encode()])
def test_malformed_configuration_is_unusable(value: bytes) -> None:
    event = RowTranslator().decode_operator_row(row("config", value))
    assert isinstance(event, UnusableRow)
    assert event.reason


def test_evacuation_row_takes_a_zone_out_of_service_until_it_is_deleted() -> None:
    translator = RowTranslator()
    assert translator.decode_operator_row(row("evacuate/z1", {})) == ZoneChanged("z1", True)
    deleted = Row("t", "evacuate/z1", None, 4)
    assert translator.decode_operator_row(deleted) == ZoneChanged("z1", False)


def test_executor_row_is_decoded() -> None:
    listing = RowTranslator().decode_executor_listing(row("i-1", SERVER))
    assert isinstance(listing, ExecutorListing)
    assert (listing.executor_id, listing.incarnation, listing.rack) == ("i-1", 99, "r1-3")
    assert listing.capacity.accelerators == 8


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": "much"},
        {"addr": "nowhere"},
        {"addr": ":8080"},
        {"zone": None},
        {"labels": "a"},
    ],
)
def test_malformed_executor_row_gives_a_reason_and_no_listing(change: dict[str, Any]) -> None:
    for value in ({**SERVER, **change}, b"\x00"):
        decoded = RowTranslator().decode_executor_listing(row("i-1", value))
        assert isinstance(decoded, UnusableRow)
        assert decoded.reason


def test_row_of_an_executor_that_is_not_in_use_gives_no_listing_and_no_reason() -> None:
    decoded = RowTranslator().decode_executor_listing(row("i-1", {**SERVER, "state": "resting"}))
    assert decoded == UnusableRow("")


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"spec": 5}, ResultCode.WRONG_TYPE),
        ({"steps": []}, ResultCode.OUT_OF_RANGE),
        ({"steps": [{"count": 0}]}, ResultCode.OUT_OF_RANGE),
        ({"steps": [{"count": 1, "cpu": -1}]}, ResultCode.OUT_OF_RANGE),
        ({"steps": [{"count": 1, "cpu": 10**30}]}, ResultCode.OUT_OF_RANGE),
        ({"steps": [{"count": 1, "after": [0]}]}, ResultCode.OUT_OF_RANGE),
        ({"repeats": 3}, ResultCode.JOB_KIND_UNSUPPORTED),
        ({"steps": [{"count": 1, "long_running": True}]}, ResultCode.JOB_KIND_UNSUPPORTED),
        ({"steps": [{"count": 1, "fills": True}]}, ResultCode.JOB_KIND_UNSUPPORTED),
    ],
)
def test_invalid_or_unsupported_job_is_refused_with_its_result_code(
    change: dict[str, Any], code: ResultCode
) -> None:
    body = json.dumps({**JOB, **change}).encode()
    assert decode_job_body(body).failure().code is code


def test_job_body_that_is_not_json_is_malformed() -> None:
    assert decode_job_body(b"{").failure().code is ResultCode.MALFORMED_BODY


def test_job_is_decoded() -> None:
    spec = decode_job_body(json.dumps(JOB).encode()).unwrap()
    assert spec.steps[0].is_gang
    assert spec.steps[0].shape.cpu_milli == 500


@pytest.mark.parametrize("index", ["\u00b2", "\u0663", "9" * 5_000, "-1", "", " 1"])
def test_task_name_with_a_malformed_index_is_no_task(index: str) -> None:
    assert parse_task_name(f"5c0e7a21d94b36f8.0.{index}.1") is None
    assert parse_task_name(f"5c0e7a21d94b36f8.0.1.{index}") is None


@pytest.mark.parametrize("time_ms", ["-1", "1" + "0" * 400, "1e999", "null"])
def test_report_with_an_impossible_time_is_malformed(time_ms: str) -> None:
    for field in ("clock_ms", "born"):
        times = {"clock_ms": "1", "born": "1", field: time_ms}
        body = "{" + ",".join(f'"{key}":{value}' for key, value in times.items()) + "}"
        assert _decode_report(body.encode()).failure().code is ResultCode.WORKER_UNREACHABLE


@pytest.mark.parametrize("value", ["9" * 5_000, "\u00b2", "", "x", "-5"])
def test_malformed_deadline_is_replaced_by_the_default(value: str) -> None:
    request = httputil.HTTPServerRequest(
        start_line=httputil.RequestStartLine("GET", "/", "HTTP/1.1"),
        headers=httputil.HTTPHeaders({"Host": "h", DEADLINE_HEADER: value}),
    )
    assert _deadline_ms(request) == DEFAULT_DEADLINE_MS


def test_malformed_entries_of_a_report_are_skipped() -> None:
    report = {
        "clock_ms": 5,
        "born": 9,
        "running": [
            ["a.0.1.2", 3, "c", 41, 7],
            ["x", 1, "", 0],
            [],
            ["a.0.1.3", "y", "", 0],
            ["a.0.1.4", True, "", 0],
        ],
        "ended": [
            [1, "a.0.0.0", 1, "done", ""],
            [2, "a.0.0.1", 1, "vanished", ""],
            [3, "?", 1, "failed"],
        ],
    }
    result = _decode_report(json.dumps(report).encode())
    assert isinstance(result, Success)
    response = result.unwrap()
    assert [run.run_id.number for run in response.running] == [3]
    assert [(end.sequence, end.reason) for end in response.ended] == [
        (1, EndReason.DONE),
        (3, EndReason.FAILED),
    ]


@pytest.mark.parametrize(
    ("status", "body", "outcome", "is_fenced"),
    [
        (200, b"{}", StartOutcome.STARTED, False),
        (409, b'{"reason":"room"}', StartOutcome.REFUSED_NO_ROOM, False),
        (409, b'{"reason":"fence"}', StartOutcome.REFUSED_OTHER, True),
        (409, b"no json", StartOutcome.REFUSED_OTHER, False),
        (421, b"", StartOutcome.REFUSED_INCARNATION, False),
        (503, b"", StartOutcome.REFUSED_UNHEALTHY, False),
        (429, b"", StartOutcome.REFUSED_UNHEALTHY, False),
        (500, b"", StartOutcome.UNKNOWN, False),
    ],
)
def test_replies_to_start_commands_are_decoded(
    status: int, body: bytes, outcome: StartOutcome, is_fenced: bool
) -> None:
    response = _decode_start_response(HttpReply(status, body))
    assert (response.outcome, response.is_fenced) == (outcome, is_fenced)


def test_settings_file_is_decoded_and_unknown_fields_are_ignored() -> None:
    boot = {
        "node": "n",
        "ip": "10.0.0.1",
        "zone": "z",
        "listen": {"front": "10.0.0.1:8521", "ready": "10.0.0.1:8523"},
        "port_range": [7000, 7015],
        "limits": {"cpu_share": 0.5, "cores": 2, "link_mbps": 10},
        "bounds": {"hold_max_ms": 10_000, "grace_s": 6, "stop_ms": 900.0, "later": 1},
        "platform": {"addr": "10.0.0.2:80"},
        "later": True,
    }
    settings = decode_settings(json.dumps(boot).encode())
    assert settings.stream_address == ("10.0.0.1", 7000)
    assert settings.cores == 1.0
    assert settings.lease_limits == LeaseLimits(5_350, 9_850)
    assert settings.run_stop_limit_ms == 900

"""Runs the examples of docs/PROTOCOL.md in order against real processes."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from _local_cluster import LocalCluster, call

PAGE = Path(__file__).resolve().parents[2] / "docs" / "PROTOCOL.md"
EXAMPLE_BLOCK = re.compile(r"^```http\n(.*?)^```$", re.MULTILINE | re.DOTALL)
VARYING_FIELDS = {"version", "submitted_unix_ms", "changed_unix_ms", "detail"}
"""Fields whose values differ between runs; only their types are compared."""


@dataclass
class Message:
    first_line: str
    headers: dict[str, str]
    body: str


def read_example_messages() -> list[Message]:
    messages: list[Message] = []
    for block in EXAMPLE_BLOCK.findall(PAGE.read_text()):
        head, _, body = block.partition("\n\n")
        first_line, *lines = head.strip().splitlines()
        headers = dict(line.split(": ", 1) for line in lines)
        messages.append(Message(first_line, headers, body.strip()))
    return messages


def find_difference(expected: Any, actual: Any, path: str = "$") -> str | None:
    """Returns a description of the first difference in type or value, or None.

    For fields in `VARYING_FIELDS` only the types are compared; extra fields in objects are allowed.
    """
    if type(expected) is not type(actual):
        return f"{path}: {expected!r} is not {actual!r}"
    if isinstance(expected, dict):
        if set(expected) - set(actual):
            return f"{path} lacks {set(expected) - set(actual)}"
        for key, value in expected.items():
            if key in VARYING_FIELDS and type(value) is type(actual[key]):
                continue
            difference = find_difference(value, actual[key], f"{path}.{key}")
            if difference:
                return difference
        return None
    if isinstance(expected, list) and len(expected) == len(actual):
        differences = (
            find_difference(*pair, f"{path}[{number}]")
            for number, pair in enumerate(zip(expected, actual, strict=True))
        )
        return next((difference for difference in differences if difference), None)
    return None if expected == actual else f"{path}: {expected!r} is not {actual!r}"


def test_protocol_page_examples_match_real_responses(cluster: LocalCluster) -> None:
    messages = read_example_messages()
    assert len(messages) >= 20
    assert len(messages) % 2 == 0
    port = cluster.router_ports()[0]
    assert call(port, "POST", "/v1/presets/ordinary/activate").status == 200
    for request, response in zip(messages[::2], messages[1::2], strict=True):
        method, path = request.first_line.split(" ")
        sent = request.body.encode() if request.body else None
        answer = call(port, method, path, sent, request.headers)
        description = f"{request.first_line}: {answer.status} {answer.body.decode()}"
        assert str(answer.status) == response.first_line, description
        for name, value in response.headers.items():
            assert answer.headers[name.lower()] == value, description
        if not response.body.startswith("{"):
            assert answer.body.decode() == response.body, description
            continue
        difference = find_difference(json.loads(response.body), answer.json())
        assert difference is None, f"{description}\n{difference}"

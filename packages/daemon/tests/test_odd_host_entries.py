"""One odd entry in the platform's host list: router and scheduler go on following the list.

Guards against a list that is never applied again because one entry, by another writer, can't be
read, and against values in it that fail later, such as a port that no socket takes.
"""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from returns.result import Result, Success

from jacinthreel_common import Host, HostKind, encode_json
from jacinthreel_daemon._host_list import HostListPoller
from jacinthreel_daemon._http_pool import HttpFailure, HttpPool, HttpReply

DEEP = b"[" * 5_000 + b"]" * 5_000
FIELDS = ("host_id", "kind", "address", "port", "cores", "slots", "stream_port", "scheduler_port")
ODD_VALUES = {
    "deep": DEEP,
    "deep object": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "large": b"1" + b"0" * 30,
    "very large": b"1" + b"0" * 5_000,
    "beyond 64 bits": str(2**64).encode(),
    "negative": b"-1",
    "infinite": b"1e999999",
    "other type": b"[1]",
}


class ScriptedPool:
    """Replies to each request for the list with the next body."""

    def __init__(self, bodies: list[bytes]) -> None:
        self._bodies = bodies

    async def get(self, path: str, timeout_ms: int) -> Result[HttpReply, HttpFailure]:
        return Success(HttpReply(200, self._bodies.pop(0)))


def host(host_id: str, port: int = 8_000) -> Host:
    return Host(host_id, HostKind.EXECUTOR, "10.0.0.9", port, "z", "r", slots=4)


def body(revision: int, *entries: bytes) -> bytes:
    return b'{"revision":%d,"hosts":[%b]}' % (revision, b", ".join(entries))


def with_field(entry: Host, name: str, value: bytes) -> bytes:
    """Returns the entry with an odd value; a later field of that name counts."""
    return encode_json(entry)[:-1] + b',"%b":%b}' % (name.encode(), value)


def follow(*bodies: bytes) -> tuple[list[dict[str, Host]], list[list[str]], list[str]]:
    """Returns the hosts after each poll, the ids passed to a subscriber, and the logged events."""
    logged: list[str] = []
    passed: list[list[str]] = []
    lists: list[dict[str, Host]] = []
    pool = cast(HttpPool, ScriptedPool(list(bodies)))
    poller = HostListPoller(pool, lambda event, fields: logged.append(event))
    poller.subscribe(lambda hosts: passed.append(sorted(item.host_id for item in hosts)))

    async def run() -> None:
        for _ in bodies:
            await poller.poll()
            lists.append(dict(poller.by_id()))

    asyncio.run(run())
    return lists, passed, logged


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
@pytest.mark.parametrize("name", FIELDS)
def test_odd_field_costs_only_its_entry_until_it_is_mended(name: str, value: bytes) -> None:
    odd = body(
        2, encode_json(host("b")), with_field(host("a"), name, value), encode_json(host("c"))
    )
    mended = body(3, encode_json(host("a", 8_001)), encode_json(host("c")))
    lists, passed, logged = follow(body(1, encode_json(host("a"))), odd, mended)
    assert lists[1] == {"a": host("a"), "b": host("b"), "c": host("c")}
    assert lists[2] == {"a": host("a", 8_001), "c": host("c")}
    assert passed[-1] == ["a", "c"]
    assert logged == ["host_entry_unreadable"]


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
@pytest.mark.parametrize("name", ["port", "unnamed"])
def test_process_that_starts_with_an_odd_entry_in_place_knows_the_others(
    name: str, value: bytes
) -> None:
    entries = (encode_json(host("b")), with_field(host("a"), name, value), encode_json(host("c")))
    lists, _, _ = follow(body(7, *entries), body(8, encode_json(host("a"))))
    assert set(lists[0]) - {"a"} == {"b", "c"}
    assert lists[1] == {"a": host("a")}


def test_fields_that_no_type_names_cost_nothing_outside_deep_entries() -> None:
    entry = with_field(host("a"), "newer", b'[{"hosts":[1]},"]"]')
    deep = with_field(host("b"), "newer", DEEP)
    text = b'{"newer":[{"hosts":[1]},"\\"]"],"hosts":[%b,%b],"revision":1,"more":{}}' % (
        entry,
        deep,
    )
    lists, _, logged = follow(text)
    assert (lists, logged) == ([{"a": host("a")}], ["host_entry_unreadable"])


@pytest.mark.parametrize("port", [b"0", b"65536", b"70000"])
def test_port_out_of_range_names_no_host(port: bytes) -> None:
    lists, _, logged = follow(body(1, with_field(host("a"), "port", port)))
    assert (lists, logged) == ([{}], ["host_entry_unreadable"])


@pytest.mark.parametrize("entry", [b"null", b"1", b'"x"', b"[]", b"{}", b'{"host_id":7}'])
def test_entry_that_is_no_host_costs_no_other(entry: bytes) -> None:
    lists, _, logged = follow(body(1, entry, encode_json(host("b"))))
    assert (set(lists[0]), logged) == ({"b"}, ["host_entry_unreadable"])


@pytest.mark.parametrize("text", [b"", b"{", DEEP, b'{"hosts":[', b'{"revision":1}'])
def test_reply_that_is_no_list_leaves_the_last_one_in_use(text: bytes) -> None:
    lists, _, _ = follow(body(1, encode_json(host("a"))), text, body(2, encode_json(host("b"))))
    assert [set(hosts) for hosts in lists] == [{"a"}, {"a"}, {"b"}]

"""Decodes the platform's host list entry by entry, so that a malformed one costs only itself.

Entries may come from other writers, and newer versions of the platform may add fields.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from jacinthreel_common import MALFORMED_INPUT, Fault, Host, ResultCode, parse_ip

MAX_PORT: Final = 2**16 - 1
MAX_QUANTITY: Final = 10**9  # Of cores, GB, accelerators, slots or connections of one host.
MAX_REASON: Final = 200
LIST_DEPTH: Final = 1  # Of the field that holds the entries.
_HOST_ID: Final = re.compile(rb'"host_id"\s*:\s*("(?:[^"\\]|\\.)*")')
_JSON_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]')


@dataclass(frozen=True, slots=True)
class UnreadableHost:
    """An entry that can't be used; `host_id` is "" if not even that can be read."""

    host_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class DecodedHostList:
    """The entries of a host list at a revision, those that can be used and the others."""

    revision: int
    hosts: list[Host]
    unreadable: list[UnreadableHost]


class _Reply(msgspec.Struct):
    revision: int
    hosts: list[msgspec.Raw]


_reply_decoder = msgspec.json.Decoder(_Reply)
_host_decoder = msgspec.json.Decoder(Host)


def decode_host_list(body: bytes) -> Result[DecodedHostList, Fault]:
    """Decodes a reply to a request for the host list.  Errors: MALFORMED_BODY."""
    try:
        reply = _reply_decoder.decode(body)
        entries = [bytes(raw) for raw in reply.hosts]
    except MALFORMED_INPUT as error:
        frame, entries = _split_entries(body)
        try:
            reply = _reply_decoder.decode(frame)
        except MALFORMED_INPUT:
            return Failure(Fault(ResultCode.MALFORMED_BODY, str(error)[:MAX_REASON]))
    hosts: list[Host] = []
    unreadable: list[UnreadableHost] = []
    for entry in entries:
        match _decode_host(entry):
            case Host() as host:
                hosts.append(host)
            case UnreadableHost() as problem:
                unreadable.append(problem)
    return Success(DecodedHostList(reply.revision, hosts, unreadable))


def _decode_host(entry: bytes) -> Host | UnreadableHost:
    try:
        host = _host_decoder.decode(entry)
    except MALFORMED_INPUT as error:
        return UnreadableHost(_read_host_id(entry), str(error)[:MAX_REASON])
    problem = _find_problem(host)
    return UnreadableHost(host.host_id, problem) if problem else host


def _read_host_id(entry: bytes) -> str:
    """Returns the id in an unreadable entry, "" if it can't be read either.

    A parser can't skip what is nested too deeply, so the text is searched.
    """
    found = _HOST_ID.search(entry)
    try:
        return msgspec.json.decode(found.group(1), type=str) if found is not None else ""
    except MALFORMED_INPUT:
        return ""


def _find_problem(host: Host) -> str:
    """Returns why the host can't be used, "" if it can."""
    if not host.host_id:
        return "the id is empty"
    if not 0 < host.port <= MAX_PORT:
        return f"port out of range: {host.port}"
    for port in (host.stream_port, host.scheduler_port):
        if not 0 <= port <= MAX_PORT:
            return f"port out of range: {port}"
    for quantity in (host.cores, host.memory_gb, host.accelerators, host.slots, host.connections):
        if not 0 <= quantity <= MAX_QUANTITY:
            return f"number out of range: {quantity}"
    return parse_ip(host.address).swap().map(lambda fault: fault.detail[:MAX_REASON]).value_or("")


def _split_entries(body: bytes) -> tuple[bytes, list[bytes]]:
    """Returns the body with an empty list of hosts, and the objects in that list.

    Unlike a parser, it isn't limited in depth: one entry that is nested too deeply makes the whole
    body unreadable for those.
    """
    depth = 0
    list_start: int | None = None
    entry_start = 0
    is_list_next = False
    entries: list[bytes] = []
    for token in _JSON_TOKEN.finditer(body):
        text = token.group()
        if text in b"[{":
            depth += 1
            if is_list_next and text == b"[" and list_start is None:
                list_start = token.start()
            elif list_start is not None and depth == LIST_DEPTH + 2:
                entry_start = token.start()
        elif text in b"]}":
            depth -= 1
            if list_start is not None and depth == LIST_DEPTH + 1:
                entries.append(body[entry_start : token.end()])
            elif list_start is not None and depth == LIST_DEPTH:
                return body[:list_start] + b"[]" + body[token.end() :], entries
        is_list_next = depth == LIST_DEPTH and text == b'"hosts"'
    return body, []

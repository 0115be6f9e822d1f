"""HTTP client of the routers with failover from one router to the next.

A call that certainly did not reach a router is sent to the next one.  A call whose answer was lost
is sent to the next one only if it is safe to repeat: it is idempotent, or it has an id by which the
servers detect duplicates.  If no later router gives a definite answer, the outcome is unknown.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Success
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError

from jacinthreel_cli._exit import CommandError, ExitStatus, fault_error, usage_error
from jacinthreel_common import (
    ErrorBody,
    Fault,
    ResultCode,
    decode_json,
    join_address,
    parse_ip,
)

ROUTERS_VARIABLE: Final = "JACINTHREEL_ROUTERS"
CONNECT_TIMEOUT_S: Final = 2.0
REQUEST_TIMEOUT_S: Final = 20.0
OUTCOME_HEADER: Final = "X-Outcome"
ANSWERED: Final = "answered"
"""Value of the header that marks an answer of an executor; such an answer may have any status."""

_NEXT_ROUTER_CODES: Final = frozenset(
    {ResultCode.SHUTTING_DOWN, ResultCode.NO_CONFIG, ResultCode.NO_OWNER}
)
_INCONCLUSIVE_CODES: Final = _NEXT_ROUTER_CODES | {
    ResultCode.STORE_UNAVAILABLE,
    ResultCode.STORE_BUDGET_SPENT,
    ResultCode.PEER_UNREACHABLE,
}
"""Refusals of a repeated call that do not settle the outcome of an earlier attempt."""

_NOT_CONNECTED_ERRNOS: Final = frozenset(
    {errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL}
)
"""Errors of connection setup; after any other error the request may have been sent."""


@dataclass(frozen=True, slots=True)
class ApiCall:
    """An HTTP call; `repeatable` is true if it is safe to send it twice."""

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = field(default_factory=dict)
    repeatable: bool = True
    timeout_s: float = REQUEST_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """The answer of a router that carried out the call, or the answer of an executor."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """An error with a result code that a router returned."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A call without an answer from a router, for `reason`.

    `may_have_arrived` is false if the call certainly did not reach the router.  An error answer
    without a result code counts as no answer: it comes from an intermediary such as a balancer.
    """

    may_have_arrived: bool
    reason: str


def parse_routers(arguments: Sequence[str]) -> list[str]:
    """Returns router addresses from the arguments, else the environment; rejects host names."""
    texts = list(arguments) or os.environ.get(ROUTERS_VARIABLE, "").replace(",", " ").split()
    if not texts:
        detail = f"no router given: use --router IP:PORT or set {ROUTERS_VARIABLE}"
        raise usage_error(ResultCode.BAD_SETTINGS, detail)
    return [_parse_router(text) for text in texts]


def _parse_router(text: str) -> str:
    address, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536:
        raise usage_error(ResultCode.BAD_SETTINGS, f"router {text!r} is not IP:PORT")
    parsed = parse_ip(address.strip("[]"))
    if isinstance(parsed, Failure):
        raise usage_error(ResultCode.NOT_AN_IP, parsed.failure().detail)
    return join_address(parsed.unwrap(), int(port))


class Routers:
    """The routers that a command may call, in order of preference."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = list(addresses)

    def call(self, call: ApiCall) -> ApiAnswer:
        """Calls the routers in turn until one gives a definite answer.

        Raises `CommandError` for refusals, unreachable routers and unknown outcomes.
        """
        return asyncio.run(self._call(call))

    async def _call(self, call: ApiCall) -> ApiAnswer:
        is_outcome_unknown = False
        reasons: list[str] = []
        for number, address in enumerate(self._addresses, start=1):
            match await _send(address, call):
                case ApiAnswer() as answer:
                    return answer
                case Refused(fault):
                    is_last = number == len(self._addresses)
                    if not _should_continue_after(fault.code, is_outcome_unknown, is_last):
                        raise fault_error(fault)
                    reasons.append(f"{address}: {fault.code.name}")
                case NoAnswer(may_have_arrived, reason):
                    reasons.append(f"{address}: {reason}")
                    is_outcome_unknown = is_outcome_unknown or may_have_arrived
                    if may_have_arrived and not call.repeatable:
                        break
        code = ResultCode.PEER_TIMEOUT if is_outcome_unknown else ResultCode.PEER_UNREACHABLE
        raise CommandError(ExitStatus.UNKNOWN, Fault(code, "; ".join(reasons)))


def _should_continue_after(code: ResultCode, is_outcome_unknown: bool, is_last: bool) -> bool:
    """Whether to continue with the next router after a refusal, instead of reporting the refusal.

    `is_outcome_unknown` is true if an earlier attempt may have arrived.  Then an inconclusive
    refusal is not reported, even from the last router, because the outcome is still unknown.
    """
    if is_outcome_unknown:
        return code in _INCONCLUSIVE_CODES
    return code in _NEXT_ROUTER_CODES and not is_last


async def _send(address: str, call: ApiCall) -> ApiAnswer | Refused | NoAnswer:
    client = AsyncHTTPClient(force_instance=True)
    request = HTTPRequest(
        f"http://{address}{call.path}",
        method=call.method,
        body=call.body,
        headers=call.headers,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=call.timeout_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
    )
    try:
        response: HTTPResponse = await client.fetch(request, raise_error=False)
    except HTTPTimeoutError as error:
        return NoAnswer("connecting" not in str(error), "timed out")
    except HTTPClientError as error:
        return NoAnswer(True, error.message)
    except OSError as error:
        return NoAnswer(error.errno not in _NOT_CONNECTED_ERRNOS, error.strerror or str(error))
    finally:
        client.close()
    return _read_answer(response)


def _read_answer(response: HTTPResponse) -> ApiAnswer | Refused | NoAnswer:
    if response.code < 300 or response.headers.get(OUTCOME_HEADER) == ANSWERED:
        return ApiAnswer(response.code, response.body)
    match decode_json(ErrorBody, response.body):
        case Success(ErrorBody(code, _, detail, retry_after_ms)):
            return Refused(Fault(code, detail, retry_after_ms))
        case _:
            return NoAnswer(True, f"HTTP {response.code} without a result code")

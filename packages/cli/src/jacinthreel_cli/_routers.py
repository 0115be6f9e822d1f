"""Calls the HTTP interface of the routers, one router after the other.

A call that certainly did not reach a router goes to the next one.  A call whose answer was lost
goes to the next one only where repeating it is safe: it is idempotent, or it carries an id that
the servers recognize.  If no later router gives a definite answer, its outcome is unknown.
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

from jacinthreel_cli._exit import CommandError, ExitStatus, refusal, usage_error
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
"""Marks an executor's answer, which is passed on whatever its status."""

_NEXT_ROUTER_CODES: Final = frozenset(
    {ResultCode.SHUTTING_DOWN, ResultCode.NO_CONFIG, ResultCode.NO_OWNER}
)
_SAYS_NOTHING_CODES: Final = _NEXT_ROUTER_CODES | {
    ResultCode.STORE_UNAVAILABLE,
    ResultCode.STORE_BUDGET_SPENT,
    ResultCode.PEER_UNREACHABLE,
}
"""Refusals of a repeated call that leave open what became of the first sending."""

_NOT_CONNECTED_ERRNOS: Final = frozenset(
    {errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL}
)
"""Errors of a connection that never came about; any other may follow a sent request."""


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call; `repeatable` says that a second sending does no harm."""

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = field(default_factory=dict)
    repeatable: bool = True
    timeout_s: float = REQUEST_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ApiAnswer:
    """What a router answered where it did what it was asked."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """The numbered error that a router answered."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Why a router gave no answer; `sent` is false where nothing can have reached it.

    An error without a number comes from something between, such as a balancer.
    """

    sent: bool
    reason: str


def parse_routers(arguments: Sequence[str]) -> list[str]:
    """Router addresses from the arguments, else from the environment; names are refused."""
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
    """The routers that commands may call, in order of preference."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = list(addresses)

    def call(self, call: ApiCall) -> ApiAnswer:
        """Calls the routers until one gives a definite answer.

        Raises `CommandError` for refusals, unreachable routers and unknown outcomes.
        """
        return asyncio.run(self._call(call))

    async def _call(self, call: ApiCall) -> ApiAnswer:
        lost = False
        reasons: list[str] = []
        for number, address in enumerate(self._addresses, start=1):
            match await _send(address, call):
                case ApiAnswer() as answer:
                    return answer
                case Refused(fault):
                    is_last = number == len(self._addresses)
                    if not _try_next(fault.code, lost, is_last):
                        raise refusal(fault)
                    reasons.append(f"{address}: {fault.code.name}")
                case NoAnswer(sent, reason):
                    reasons.append(f"{address}: {reason}")
                    lost = lost or sent
                    if sent and not call.repeatable:
                        break
        code = ResultCode.PEER_TIMEOUT if lost else ResultCode.PEER_UNREACHABLE
        raise CommandError(ExitStatus.UNKNOWN, Fault(code, "; ".join(reasons)))


def _try_next(code: ResultCode, lost: bool, is_last: bool) -> bool:
    """Whether a refusal leaves something to ask of the next router, or to leave unknown."""
    if lost:
        return code in _SAYS_NOTHING_CODES
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
        return NoAnswer("connecting" not in str(error), "no answer in time")
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
            return NoAnswer(True, f"HTTP {response.code} without a numbered error")

"""Fault injection: faults that tests and the demo set in the stand-ins with `POST /v1/faults`.

A request sets the fields in its body and leaves the others unchanged.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from jacinthreel_common import Fault, ResultCode, convert, to_plain
from jacinthreel_standins._serving import AbortError, JsonHandler


@dataclass(slots=True)
class StoreFaults:
    """Faults of the table service, the object store and the host list.

    `down` rejects all requests immediately with 503; `hang` blocks all requests until it is reset.
    `delay_ms` delays each reply.  `lose_replies` is the number of following transactions that are
    applied but whose connection is closed without a reply; `lose_requests` the number that are not
    applied and whose connection is closed; `refuse` the number that are not applied and answered
    with 503.  These three affect only transactions that write a key that starts with `only_prefix`.
    `host_list_lag_ms` is the minimum age of the host list that is returned.
    """

    down: bool = False
    hang: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_requests: int = 0
    refuse: int = 0
    only_prefix: str = ""
    host_list_lag_ms: int = 0


@dataclass(slots=True)
class WorkerFaults:
    """Faults of one worker.

    `fails_everything` makes every task fail soon after its start.  `unreachable` closes connections
    without executing anything; `lose_replies` is the number of following batches that are executed
    but not answered.  `delay_ms` delays the execution of each batch.  `restart` discards all tasks
    once, as a reboot does.
    """

    fails_everything: bool = False
    unreachable: bool = False
    lose_replies: int = 0
    delay_ms: int = 0
    restart: bool = False


@dataclass(slots=True)
class ExecutorFaults:
    """Faults of one executor.

    `unreachable` closes connections before a request runs; `leaving` rejects new requests.
    `lose_replies` is the number of following requests that run but whose connection is closed
    without a reply; `fail_runs` the number that run and are answered with 500.  Run times are
    divided by `speed`.
    """

    unreachable: bool = False
    leaving: bool = False
    lose_replies: int = 0
    fail_runs: int = 0
    speed: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0


def set_faults(faults: Any, handler: JsonHandler) -> None:
    """Sets the fields in the request body of `handler`, and replies with all of `faults`."""
    changes = handler.read_body(dict[str, Any])
    merged = {**to_plain(faults), **changes}
    checked = convert(type(faults), merged)
    failure: Fault | None = checked.swap().value_or(None)
    if failure is not None:
        raise AbortError(failure)
    for field in dataclasses.fields(faults):
        value = getattr(checked.unwrap(), field.name)
        if isinstance(value, int) and value < 0:
            raise AbortError(Fault(ResultCode.OUT_OF_RANGE, f"{field.name} must not be negative"))
        setattr(faults, field.name, value)
    handler.reply(faults)

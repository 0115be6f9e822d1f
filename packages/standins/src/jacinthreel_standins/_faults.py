"""Faults that tests and the demo switch on in the stand-ins with `POST /v1/faults`.

A body sets the fields that it names and leaves the others as they are.
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

    `down` refuses all at once with 503, `hang` answers nothing until it is switched off.
    `delay_ms` delays each answer.  `lose_replies` counts the next transactions that are applied
    but whose connection is cut; `lose_requests` those that are cut without being applied;
    `refuse` those that are answered 503 without being applied.  A transaction counts only if one
    of its keys starts with `only_prefix`.  `host_list_lag_ms` is how old the host list is.
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

    `unreachable` cuts connections without carrying anything out; `lose_replies` counts the next
    batches that are carried out but not answered.  `restart` loses all tasks once.
    """

    fails_everything: bool = False
    unreachable: bool = False
    lose_replies: int = 0
    delay_ms: int = 0
    restart: bool = False


@dataclass(slots=True)
class ExecutorFaults:
    """Faults of one executor.

    `unreachable` cuts connections before a request runs; `lose_replies` counts the next requests
    that run but whose connection is cut; `fail_runs` those that run and are answered 500.
    `speed` divides the run times.
    """

    unreachable: bool = False
    leaving: bool = False
    lose_replies: int = 0
    fail_runs: int = 0
    speed: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0


def set_faults(faults: Any, handler: JsonHandler) -> None:
    """Sets the fields that a handler's body names, and answers with all of them."""
    named = handler.read_body(dict[str, Any])
    merged = {**to_plain(faults), **named}
    checked = convert(type(faults), merged)
    failure: Fault | None = checked.swap().value_or(None)
    if failure is not None:
        raise AbortError(failure)
    for field in dataclasses.fields(faults):
        value = getattr(checked.unwrap(), field.name)
        if isinstance(value, int) and value < 0:
            raise AbortError(Fault(ResultCode.OUT_OF_RANGE, f"{field.name} is negative"))
        setattr(faults, field.name, value)
    handler.reply(faults)

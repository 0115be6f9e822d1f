"""Sends command batches to workers over persistent HTTP connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from returns.result import Failure, Result, Success

from jacinthreel_common import (
    CommandBatch,
    CommandReply,
    Fault,
    Host,
    HostKind,
    ResultCode,
    decode_json,
    encode_json,
)
from jacinthreel_daemon._http_pool import HttpFailure, HttpPool, HttpReply

CONNECT_TIMEOUT_MS: Final = 1_000
BATCH_TIMEOUT_MS: Final = 4_000


class WorkerClients:
    """HTTP connection pools to the workers on the host list."""

    def __init__(self) -> None:
        self._pools_by_id: dict[str, HttpPool] = {}
        self._addresses_by_id: dict[str, tuple[str, int]] = {}

    def set_hosts(self, hosts: list[Host]) -> None:
        """Opens and closes pools to match the host list."""
        workers = {host.host_id: host for host in hosts if host.kind is HostKind.WORKER}
        for worker_id in list(self._pools_by_id):
            host = workers.get(worker_id)
            if host is None or self._addresses_by_id[worker_id] != (host.address, host.port):
                self._pools_by_id.pop(worker_id).close()
                del self._addresses_by_id[worker_id]
        for worker_id, host in workers.items():
            if worker_id not in self._pools_by_id:
                pool = HttpPool(host.address, host.port, CONNECT_TIMEOUT_MS)
                self._pools_by_id[worker_id] = pool
                self._addresses_by_id[worker_id] = (host.address, host.port)

    async def send(
        self, worker_id: str, batch: CommandBatch, may_send: Callable[[], bool]
    ) -> Result[CommandReply, HttpFailure]:
        """Sends a batch once, without retries.

        `may_send` is called immediately before the first byte is written; if it returns false,
        nothing is sent.
        """
        pool = self._pools_by_id.get(worker_id)
        if pool is None:
            return Failure(HttpFailure(False, "the worker is not on the host list"))
        outcome = await pool.post("/v1/commands", encode_json(batch), BATCH_TIMEOUT_MS, may_send)
        match outcome:
            case Success(HttpReply(body=body, status=status)):
                return _decode(body, status)
            case Failure(HttpFailure() as failure):
                return Failure(failure)
            case _:
                raise AssertionError("a Result is Success or Failure")


def _decode(body: bytes, status: int) -> Result[CommandReply, HttpFailure]:
    match decode_json(CommandReply, body):
        case Success(CommandReply() as reply):
            return Success(reply)
        case Failure(Fault(code=code, detail=detail)):
            name = ResultCode(code).name
            return Failure(HttpFailure(True, f"status {status}, bad reply: {name} {detail}"))
        case _:
            raise AssertionError("a Result is Success or Failure")

"""Starts the stand-ins: `python -m jacinthreel_standins platform|workers|executors`."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import cyclopts

from jacinthreel_common import Host, HostKind, decode_json
from jacinthreel_standins._executor_model import ExecutorModel
from jacinthreel_standins._executor_server import ServedExecutor, make_executor
from jacinthreel_standins._platform_server import Platform, make_platform
from jacinthreel_standins._serving import check_address, listen, now_ms, serve_until_stopped
from jacinthreel_standins._worker_model import WorkerModel
from jacinthreel_standins._worker_server import ServedWorker, make_worker

app = cyclopts.App(name="jacinthreel-standins", help="Small stand-ins for the platform.")


@app.command
def platform(*, address: str, port: int, hosts: Path) -> None:
    """Serves the table service, the object store and the host list.

    Parameters
    ----------
    address
        The IP number to listen on.
    port
        The TCP port.
    hosts
        A JSON file with the list of hosts.
    """
    served = Platform()
    served.set_hosts(_read_hosts(hosts), now_ms())

    async def serve() -> None:
        listen(make_platform(served), check_address(address), port)
        await serve_until_stopped()

    asyncio.run(serve())


@app.command
def workers(*, hosts: Path, zone: str, unguarded: bool = False) -> None:
    """Serves the workers that the list has in one zone, each at its address and port.

    Parameters
    ----------
    hosts
        The JSON file with the list of hosts.
    zone
        The availability zone to serve.
    unguarded
        Switches the guards for epochs and reservations off.
    """
    listed = _select(_read_hosts(hosts), HostKind.WORKER, zone)

    async def serve() -> None:
        for host in listed:
            model = WorkerModel(
                host.host_id, host.accelerators, host.cores, host.memory_gb, guarded=not unguarded
            )
            listen(make_worker(ServedWorker(model)), check_address(host.address), host.port)
        await serve_until_stopped()

    asyncio.run(serve())


@app.command
def executors(*, hosts: Path, zone: str, speed: float = 1.0) -> None:
    """Serves the executors that the list has in one zone, each at its address and port.

    Parameters
    ----------
    hosts
        The JSON file with the list of hosts.
    zone
        The availability zone to serve.
    speed
        What divides the run times that the requests name.
    """
    listed = _select(_read_hosts(hosts), HostKind.EXECUTOR, zone)

    async def serve() -> None:
        for host in listed:
            executor = ServedExecutor(ExecutorModel(host.host_id, host.slots, speed))
            listen(make_executor(executor), check_address(host.address), host.port)
        await serve_until_stopped()

    asyncio.run(serve())


def _read_hosts(path: Path) -> list[Host]:
    return decode_json(list[Host], path.read_bytes()).unwrap()


def _select(hosts: list[Host], kind: HostKind, zone: str) -> list[Host]:
    return [host for host in hosts if host.kind is kind and host.zone == zone]


def main() -> None:
    """Runs the command line."""
    logging.basicConfig(level=logging.WARNING)
    app()


if __name__ == "__main__":
    main()

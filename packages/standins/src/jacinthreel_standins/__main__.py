"""Runs stand-in servers: `python -m jacinthreel_standins platform|workers|executors`."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import cyclopts

from jacinthreel_common import Host, HostKind, decode_json
from jacinthreel_standins._executor_model import ExecutorModel
from jacinthreel_standins._executor_server import ServedExecutor, make_executor_application
from jacinthreel_standins._platform_server import Platform, make_platform_application
from jacinthreel_standins._serving import listen, now_ms, parse_address_or_exit, serve_until_stopped
from jacinthreel_standins._worker_model import WorkerModel
from jacinthreel_standins._worker_server import ServedWorker, make_worker_application

app = cyclopts.App(
    name="jacinthreel-standins", help="Runs stand-ins (test doubles) for the platform."
)


@app.command
def platform(*, address: str, port: int, hosts: Path) -> None:
    """Serves the table service, the object store and the host list.

    Parameters
    ----------
    address
        The IP address to listen on.
    port
        The TCP port to listen on.
    hosts
        The JSON file with the host list.
    """
    state = Platform()
    state.set_hosts(_read_hosts(hosts), now_ms())

    async def serve() -> None:
        listen(make_platform_application(state), parse_address_or_exit(address), port)
        await serve_until_stopped()

    asyncio.run(serve())


@app.command
def workers(*, hosts: Path, zone: str, unguarded: bool = False) -> None:
    """Serves the workers of one zone of the host list, each at its address and port.

    Parameters
    ----------
    hosts
        The JSON file with the host list.
    zone
        The availability zone whose workers are served.
    unguarded
        Disables the fencing checks for epochs and reservations.
    """
    zone_workers = _select_hosts(_read_hosts(hosts), HostKind.WORKER, zone)

    async def serve() -> None:
        for host in zone_workers:
            model = WorkerModel(
                host.host_id, host.accelerators, host.cores, host.memory_gb, guarded=not unguarded
            )
            listen(
                make_worker_application(ServedWorker(model)),
                parse_address_or_exit(host.address),
                host.port,
            )
        await serve_until_stopped()

    asyncio.run(serve())


@app.command
def executors(*, hosts: Path, zone: str, speed: float = 1.0) -> None:
    """Serves the executors of one zone of the host list, each at its address and port.

    Parameters
    ----------
    hosts
        The JSON file with the host list.
    zone
        The availability zone whose executors are served.
    speed
        The divisor for the run times given in the requests.
    """
    zone_executors = _select_hosts(_read_hosts(hosts), HostKind.EXECUTOR, zone)

    async def serve() -> None:
        for host in zone_executors:
            executor = ServedExecutor(ExecutorModel(host.host_id, host.slots, speed))
            listen(
                make_executor_application(executor), parse_address_or_exit(host.address), host.port
            )
        await serve_until_stopped()

    asyncio.run(serve())


def _read_hosts(path: Path) -> list[Host]:
    return decode_json(list[Host], path.read_bytes()).unwrap()


def _select_hosts(hosts: list[Host], kind: HostKind, zone: str) -> list[Host]:
    return [host for host in hosts if host.kind is kind and host.zone == zone]


def main() -> None:
    """Runs the command line."""
    logging.basicConfig(level=logging.WARNING)
    app()


if __name__ == "__main__":
    main()

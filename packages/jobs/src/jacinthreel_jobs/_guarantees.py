"""Validates guarantees: all of them must fit together on the listed workers."""

from __future__ import annotations

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, Host, HostKind, ResultCode, Workspace
from jacinthreel_jobs._cells import CellWorker, MissingCells, lay_out


def check_guarantees(
    workspaces: Iterable[Workspace], workers: Iterable[Host]
) -> Result[None, Fault]:
    """Checks that all guarantees fit together on the listed workers if these were idle.

    Workers in zones that are out of service count, since an outage is temporary.  Errors:
    GUARANTEES_DO_NOT_FIT, with the cells that could not be placed in the detail.
    """
    cell_workers: list[CellWorker] = []
    for host in workers:
        if host.kind is not HostKind.WORKER:
            continue
        cell_workers.append(CellWorker(host.host_id, (host.zone, host.rack), host.accelerators))
    layout = lay_out(workspaces, cell_workers)
    if not layout.missing:
        return Success(None)
    return Failure(Fault(ResultCode.GUARANTEES_DO_NOT_FIT, describe_missing(layout.missing)))


def describe_missing(missing: Iterable[MissingCells]) -> str:
    """Describes in one line the cells that could not be placed.

    >>> from jacinthreel_common import CellLevel
    >>> describe_missing([MissingCells("press", CellLevel.RACK, 2)])
    'no room for 2 x rack of workspace press'
    """
    parts = [f"{item.count} x {item.level} of workspace {item.workspace}" for item in missing]
    return "no room for " + ", ".join(parts)

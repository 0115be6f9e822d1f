"""Polls the platform's host list.

Each poll sends the revision of the current list, so that the reply for an unchanged list is only
a few bytes long.  While polls fail, the last list remains in use.  A host whose entry can't be read
stays as it was last listed, until its entry can be read again or is gone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from returns.result import Failure, Success

from jacinthreel_common import Fault, Host, HostKind
from jacinthreel_daemon._host_entries import DecodedHostList, UnreadableHost, decode_host_list
from jacinthreel_daemon._http_pool import HttpFailure, HttpPool, HttpReply

HOST_POLL_MS: Final = 1_000
HOST_TIMEOUT_MS: Final = 3_000
WARN_AFTER_FAILURES: Final = 3


class HostListPoller:
    """Holds the latest host list; implements the port `HostView`."""

    def __init__(self, pool: HttpPool, log: Callable[[str, dict[str, Any]], None]) -> None:
        self._pool = pool
        self._log = log
        self._revision = 0
        self._hosts_by_id: dict[str, Host] = {}
        self._callbacks: list[Callable[[list[Host]], None]] = []
        self._polling = False
        self._failures = 0

    def by_id(self) -> dict[str, Host]:
        """Returns all listed hosts by their id."""
        return self._hosts_by_id

    @property
    def has_list(self) -> bool:
        """Whether a list has been read since startup."""
        return self._revision > 0

    def subscribe(self, callback: Callable[[list[Host]], None]) -> None:
        """Calls `callback` with each new list, immediately if one has been read."""
        self._callbacks.append(callback)
        if self.has_list:
            callback(list(self._hosts_by_id.values()))

    async def poll(self) -> None:
        """Reads the list once; does nothing while another poll is in progress."""
        if self._polling:
            return
        self._polling = True
        try:
            outcome = await self._pool.get(f"/v1/hosts?revision={self._revision}", HOST_TIMEOUT_MS)
        finally:
            self._polling = False
        match outcome:
            case Success(HttpReply(status=200, body=body)):
                self._apply_reply(body)
            case Success(HttpReply(status=status)):
                self._record_failure(f"status {status}")
            case Failure(HttpFailure(detail=detail)):
                self._record_failure(detail)

    def _apply_reply(self, body: bytes) -> None:
        match decode_host_list(body):
            case Failure(Fault(detail=detail)):
                self._record_failure(f"invalid reply: {detail}")
            case Success(DecodedHostList() as decoded):
                self._failures = 0
                if decoded.revision != self._revision:
                    self._apply_list(decoded)

    def _apply_list(self, decoded: DecodedHostList) -> None:
        self._revision = decoded.revision
        hosts_by_id = {host.host_id: host for host in decoded.hosts}
        for entry in decoded.unreadable:
            self._keep_last(entry, hosts_by_id)
        self._hosts_by_id = hosts_by_id
        for callback in self._callbacks:
            callback(list(hosts_by_id.values()))

    def _keep_last(self, entry: UnreadableHost, hosts_by_id: dict[str, Host]) -> None:
        """Keeps a host with an unreadable entry as it was last listed, if it was."""
        last = self._hosts_by_id.get(entry.host_id)
        if last is not None:
            hosts_by_id.setdefault(entry.host_id, last)
        fields = {"host": entry.host_id, "known": last is not None, "reason": entry.reason}
        self._log("host_entry_unreadable", fields)

    def _record_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures == WARN_AFTER_FAILURES:
            self._log("host_list_unavailable", {"reason": detail})


def entry_hosts(hosts_by_id: dict[str, Host], region: str) -> list[Host]:
    """Returns the entry hosts of a region, sorted by id."""
    hosts = [
        host
        for host in hosts_by_id.values()
        if host.kind is HostKind.ENTRY and host.region == region
    ]
    return sorted(hosts, key=lambda host: host.host_id)

"""Runs the scenarios of `features/operators.feature` on three fake routers."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Result, Success
from router_fakes import FakeProcess

from jacinthreel_common import (
    CONFIG_HISTORY_PREFIX,
    Config,
    ConfigPush,
    Fault,
    PresetName,
    ReadQuery,
    ReadReply,
    ResultCode,
)
from jacinthreel_daemon import _config_changes
from jacinthreel_daemon._config_changes import ChangeAccepted, ConfigChanger
from jacinthreel_daemon._config_rules import (
    ActivatePreset,
    Change,
    ChangeRequest,
    Initialize,
    TakeZoneOut,
)
from jacinthreel_daemon._config_watch import ConfigWatch
from jacinthreel_daemon._ports import AppliedConfig
from jacinthreel_standins import MemoryStore, StoreOutcome

scenarios("features/operators.feature")


class FaultyStore(MemoryStore):
    """A store that can lose the calls after a transaction, and can delay one transaction.

    The next transaction waits for `transaction_gate` if it is set.  `calls_lost_after` is the
    number of transactions and of reads that fail after the next transaction.
    """

    calls_lost_after = 0
    transaction_gate: asyncio.Event | None = None

    async def transact(self, transaction: Any, priority: int) -> Any:
        gate, self.transaction_gate = self.transaction_gate, None
        if gate is not None:
            await gate.wait()
        result = await super().transact(transaction, priority)
        self.outcomes.extend([StoreOutcome.LOST_REQUEST] * self.calls_lost_after)
        self.reads_answered.extend([False] * self.calls_lost_after)
        self.calls_lost_after = 0
        return result


@dataclass
class Router(FakeProcess):
    """A router with a real `ConfigWatch`; pushes to it are delayed if `delayed_pushes` is set."""

    routers: list[Router] = field(default_factory=list)
    delayed_pushes: list[ConfigPush] | None = None

    def __post_init__(self) -> None:
        self.watch = ConfigWatch(self, lambda event, fields: None)

    def apply(self, config: Config, row_version: int) -> bool:
        return self.watch.apply(config, row_version)

    def current(self) -> AppliedConfig | None:
        return self.watch.current()

    def notify_all(self, message: object) -> None:
        assert isinstance(message, ConfigPush)
        for peer in self.routers:
            if peer.delayed_pushes is not None:
                peer.delayed_pushes.append(message)
            elif peer is not self:
                peer.watch.apply_push(message, "peer")

    async def poll(self) -> None:
        while True:
            keys = self.watch.keys_to_read()
            reply: ReadReply = (await self.store.read(ReadQuery(keys=keys))).unwrap()
            self.watch.on_rows_read(keys, {row.key: row for row in reply.rows}, 0)
            if not self.watch.is_behind:
                return


@dataclass
class Region:
    """Three routers with one store, and the results of the changes that they made."""

    store: FaultyStore = field(default_factory=FaultyStore)
    routers: dict[int, Router] = field(default_factory=dict)
    results: list[Result[ChangeAccepted, Fault]] = field(default_factory=list)
    # The router whose next write is delayed, and the event that lets it continue.
    frozen_write: tuple[int, asyncio.Event] | None = None
    changes: int = 0

    async def change(self, number: int, change: Change, **request_fields: Any) -> None:
        self.changes += 1
        router = self.routers[number]
        request = ChangeRequest(change, **{"change_id": f"change-{self.changes}", **request_fields})
        changer = ConfigChanger(router.context(), router.sleep)
        self.results.append(await changer.change(request))

    def run(self, *changes: Any) -> None:
        async def gather() -> None:
            await asyncio.gather(*changes)

        asyncio.run(gather())


@pytest.fixture
def region() -> Region:
    new_region = Region()
    for number in (1, 2, 3):
        new_region.routers[number] = Router(store=new_region.store)
    for router in new_region.routers.values():
        router.routers = list(new_region.routers.values())
    return new_region


@given("3 routers that have the first configuration")
def _create_first_config(region: Region) -> None:
    region.run(region.change(1, Initialize()))
    region.results.clear()


@given(parsers.parse("pushes to router {number:d} are delayed"))
def _delay_pushes(region: Region, number: int) -> None:
    region.routers[number].delayed_pushes = []


@given(parsers.parse("the history keeps {count:d} versions"))
def _limit_history(monkeypatch: pytest.MonkeyPatch, count: int) -> None:
    monkeypatch.setattr(_config_changes, "HISTORY_KEPT_VERSIONS", count)


@given(parsers.parse('the next transaction has the outcome "{outcome}"'))
def _set_next_outcome(region: Region, outcome: str) -> None:
    region.store.outcomes = deque([StoreOutcome(outcome)])


@given(parsers.parse("the table service goes down after the next transaction for {calls:d} calls"))
def _go_down_after_transaction(region: Region, calls: int) -> None:
    region.store.calls_lost_after = calls


@given("the table service is down")
def _go_down(region: Region) -> None:
    region.store.down = True


@given(parsers.parse("router {number:d} has read the configuration and is frozen before its write"))
def _freeze_before_write(region: Region, number: int) -> None:
    region.frozen_write = (number, asyncio.Event())


@when(
    parsers.parse(
        'routers {first:d} and {second:d} activate "{one}" and "{two}" on version {version:d}'
        " at the same time"
    )
)
def _activate_two_presets(
    region: Region, first: int, second: int, one: str, two: str, version: int
) -> None:
    region.run(
        region.change(first, ActivatePreset(PresetName(one)), expected_version=version),
        region.change(second, ActivatePreset(PresetName(two)), expected_version=version),
    )


@when(
    parsers.parse(
        'routers {first:d} and {second:d} take zones "{one}" and "{two}" out at the same time'
    )
)
def _take_two_zones_out(region: Region, first: int, second: int, one: str, two: str) -> None:
    region.run(
        region.change(first, TakeZoneOut(one, "", 0)),
        region.change(second, TakeZoneOut(two, "", 0)),
    )


@when(parsers.parse('router {number:d} activates "{preset}"'))
def _activate(region: Region, number: int, preset: str) -> None:
    change = ActivatePreset(PresetName(preset))
    if region.frozen_write is None:
        region.run(region.change(number, change))
        return
    frozen, resume = region.frozen_write

    async def activate_during_freeze() -> None:
        region.store.transaction_gate = resume
        slow = asyncio.ensure_future(region.change(frozen, ActivatePreset(PresetName.MAINTENANCE)))
        while region.store.transaction_gate is not None:
            await asyncio.sleep(0)
        await region.change(number, change)
        resume.set()
        await slow

    region.run(activate_during_freeze())


@when(parsers.parse('router {number:d} activates "{preset}" as change "{change_id}"'))
def _activate_with_change_id(region: Region, number: int, preset: str, change_id: str) -> None:
    region.run(region.change(number, ActivatePreset(PresetName(preset)), change_id=change_id))


@when(parsers.parse('router {number:d} takes zone "{zone}" out'))
def _take_zone_out(region: Region, number: int, zone: str) -> None:
    region.run(region.change(number, TakeZoneOut(zone, "", 0)))


@when(parsers.parse('router {number:d} resumes its activation of "{preset}"'))
def _check_frozen_change_ended(region: Region, number: int, preset: str) -> None:
    """Checks that the frozen change has ended; the step before this one let it continue."""
    assert len(region.results) == 2


@when(parsers.parse("router {number:d} polls the table service"))
def _poll(region: Region, number: int) -> None:
    region.run(region.routers[number].poll())


@when(parsers.parse("the delayed pushes reach router {number:d} in reverse order"))
def _deliver_delayed_pushes(region: Region, number: int) -> None:
    router = region.routers[number]
    for push in reversed(router.delayed_pushes or []):
        router.watch.apply_push(push, "peer")


def accepted_versions(region: Region) -> list[int]:
    return [result.unwrap().version for result in region.results if isinstance(result, Success)]


def refusal_faults(region: Region) -> list[Fault]:
    return [result.failure() for result in region.results if isinstance(result, Failure)]


@then(parsers.parse("one change is accepted as version {version:d}"))
def _check_one_accepted(region: Region, version: int) -> None:
    assert accepted_versions(region) == [version]


@then(parsers.parse("the change is accepted as version {version:d}"))
def _check_accepted(region: Region, version: int) -> None:
    assert region.results[-1].unwrap().version == version


@then("both changes are accepted")
def _check_both_accepted(region: Region) -> None:
    assert sorted(accepted_versions(region)) == [2, 3]


@then(parsers.parse('the other is refused with "{code}" and its detail names version {version:d}'))
def _check_other_refused(region: Region, code: str, version: int) -> None:
    (fault,) = refusal_faults(region)
    assert fault.code is ResultCode[code]
    assert f"lost to version {version}" in fault.detail


@then(parsers.parse('the change is refused with "{code}"'))
def _check_refused(region: Region, code: str) -> None:
    (fault,) = refusal_faults(region)
    assert fault.code is ResultCode[code]


@then(parsers.parse("every router has applied version {version:d}"))
def _check_applied_version(region: Region, version: int) -> None:
    applied = [router.current() for router in region.routers.values()]
    assert [entry.config.version for entry in applied if entry] == [version] * 3


@then(parsers.parse('router {number:d} has applied the preset "{preset}"'))
def _check_applied_preset(region: Region, preset: str, number: int) -> None:
    applied = region.routers[number].current()
    assert applied is not None
    assert applied.config.preset == preset


@then(parsers.parse('zones "{zones}" are taken out'))
def _check_zones_out(region: Region, zones: str) -> None:
    applied = region.routers[3].current()
    assert applied is not None
    assert ", ".join(sorted(applied.config.zones_out)) == zones


@then(parsers.parse("the history has {count:d} versions"))
def _check_history(region: Region, count: int) -> None:
    rows = region.store.table.read(ReadQuery(prefixes=[CONFIG_HISTORY_PREFIX])).rows
    assert [row.value["version"] for row in rows] == list(range(1, count + 1))

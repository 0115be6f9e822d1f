"""Runs the scenarios of `features/operators.feature` on fakes of three routers."""

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
    """A store that can go down after a transaction, and hold a transaction until it is let go."""

    down_after = 0
    held: asyncio.Event | None = None

    async def transact(self, transaction: Any, priority: int) -> Any:
        held, self.held = self.held, None
        if held is not None:
            await held.wait()
        result = await super().transact(transaction, priority)
        self.outcomes.extend([StoreOutcome.LOST_REQUEST] * self.down_after)
        self.reads_answered.extend([False] * self.down_after)
        self.down_after = 0
        return result


@dataclass
class Router(FakeProcess):
    """A router with a real configuration watch; `held_pushes` is a list while they are held."""

    region: list[Router] = field(default_factory=list)
    held_pushes: list[ConfigPush] | None = None

    def __post_init__(self) -> None:
        self.watch = ConfigWatch(self, lambda event, fields: None)

    def apply(self, config: Config, row_version: int) -> bool:
        return self.watch.apply(config, row_version)

    def current(self) -> AppliedConfig | None:
        return self.watch.current()

    def notify_all(self, message: object) -> None:
        assert isinstance(message, ConfigPush)
        for peer in self.region:
            if peer.held_pushes is not None:
                peer.held_pushes.append(message)
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
    """Three routers, what was asked of them and what came out."""

    store: FaultyStore = field(default_factory=FaultyStore)
    routers: dict[int, Router] = field(default_factory=dict)
    results: list[Result[ChangeAccepted, Fault]] = field(default_factory=list)
    frozen: tuple[int, asyncio.Event] | None = None
    changes: int = 0

    async def change(self, number: int, change: Change, **how: Any) -> None:
        self.changes += 1
        router = self.routers[number]
        request = ChangeRequest(change, **{"change_id": f"change-{self.changes}", **how})
        changer = ConfigChanger(router.context(), router.sleep)
        self.results.append(await changer.change(request))

    def run(self, *changes: Any) -> None:
        async def gather() -> None:
            await asyncio.gather(*changes)

        asyncio.run(gather())


@pytest.fixture
def region() -> Region:
    made = Region()
    for number in (1, 2, 3):
        made.routers[number] = Router(store=made.store)
    for router in made.routers.values():
        router.region = list(made.routers.values())
    return made


@given("3 routers that have the first configuration")
def _start(region: Region) -> None:
    region.run(region.change(1, Initialize()))
    region.results.clear()


@given(parsers.parse("pushes to router {number:d} are held back"))
def _hold_pushes(region: Region, number: int) -> None:
    region.routers[number].held_pushes = []


@given(parsers.parse("the history keeps {count:d} versions"))
def _short_history(monkeypatch: pytest.MonkeyPatch, count: int) -> None:
    monkeypatch.setattr(_config_changes, "HISTORY_KEPT_VERSIONS", count)


@given(parsers.parse('the next transaction ends as "{outcome}"'))
def _next_outcome(region: Region, outcome: str) -> None:
    region.store.outcomes = deque([StoreOutcome(outcome)])


@given(parsers.parse("the table service goes down after the next transaction for {calls:d} calls"))
def _down_after(region: Region, calls: int) -> None:
    region.store.down_after = calls


@given("the table service is down")
def _down(region: Region) -> None:
    region.store.down = True


@given(parsers.parse("router {number:d} has read the configuration and is frozen before its write"))
def _freeze(region: Region, number: int) -> None:
    region.frozen = (number, asyncio.Event())


@when(
    parsers.parse(
        'routers {first:d} and {second:d} activate "{one}" and "{two}" on version {version:d}'
        " at the same time"
    )
)
def _race_presets(
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
def _race_zones(region: Region, first: int, second: int, one: str, two: str) -> None:
    region.run(
        region.change(first, TakeZoneOut(one, "", 0)),
        region.change(second, TakeZoneOut(two, "", 0)),
    )


@when(parsers.parse('router {number:d} activates "{preset}"'))
def _activate(region: Region, number: int, preset: str) -> None:
    change = ActivatePreset(PresetName(preset))
    if region.frozen is None:
        region.run(region.change(number, change))
        return
    frozen, let_go = region.frozen

    async def overtake() -> None:
        region.store.held = let_go
        slow = asyncio.ensure_future(region.change(frozen, ActivatePreset(PresetName.MAINTENANCE)))
        while region.store.held is not None:
            await asyncio.sleep(0)
        await region.change(number, change)
        let_go.set()
        await slow

    region.run(overtake())


@when(parsers.parse('router {number:d} activates "{preset}" as change "{change_id}"'))
def _activate_as(region: Region, number: int, preset: str, change_id: str) -> None:
    region.run(region.change(number, ActivatePreset(PresetName(preset)), change_id=change_id))


@when(parsers.parse('router {number:d} takes zone "{zone}" out'))
def _take_out(region: Region, number: int, zone: str) -> None:
    region.run(region.change(number, TakeZoneOut(zone, "", 0)))


@when(parsers.parse('router {number:d} goes on to activate "{preset}"'))
def _go_on(region: Region, number: int, preset: str) -> None:
    assert len(region.results) == 2


@when(parsers.parse("router {number:d} polls the table service"))
def _poll(region: Region, number: int) -> None:
    region.run(region.routers[number].poll())


@when(parsers.parse("the held pushes reach router {number:d} in reverse order"))
def _release_pushes(region: Region, number: int) -> None:
    router = region.routers[number]
    for push in reversed(router.held_pushes or []):
        router.watch.apply_push(push, "peer")


def versions(region: Region) -> list[int]:
    return [result.unwrap().version for result in region.results if isinstance(result, Success)]


def refusals(region: Region) -> list[Fault]:
    return [result.failure() for result in region.results if isinstance(result, Failure)]


@then(parsers.parse("one change is accepted as version {version:d}"))
def _one_accepted(region: Region, version: int) -> None:
    assert versions(region) == [version]


@then(parsers.parse("the change is accepted as version {version:d}"))
def _accepted(region: Region, version: int) -> None:
    assert region.results[-1].unwrap().version == version


@then("both changes are accepted")
def _both_accepted(region: Region) -> None:
    assert sorted(versions(region)) == [2, 3]


@then(parsers.parse('the other is refused with "{code}" and names version {version:d}'))
def _other_refused(region: Region, code: str, version: int) -> None:
    (fault,) = refusals(region)
    assert fault.code is ResultCode[code]
    assert f"lost to version {version}" in fault.detail


@then(parsers.parse('the change is refused with "{code}"'))
def _refused(region: Region, code: str) -> None:
    (fault,) = refusals(region)
    assert fault.code is ResultCode[code]


@then(parsers.parse("every router has version {version:d} in force"))
def _in_force(region: Region, version: int) -> None:
    applied = [router.current() for router in region.routers.values()]
    assert [entry.config.version for entry in applied if entry] == [version] * 3


@then(parsers.parse('the preset "{preset}" is in force at router {number:d}'))
def _preset_in_force(region: Region, preset: str, number: int) -> None:
    applied = region.routers[number].current()
    assert applied is not None
    assert applied.config.preset == preset


@then(parsers.parse('zones "{zones}" are out'))
def _zones_out(region: Region, zones: str) -> None:
    applied = region.routers[3].current()
    assert applied is not None
    assert ", ".join(sorted(applied.config.zones_out)) == zones


@then(parsers.parse("the history has {count:d} versions"))
def _history(region: Region, count: int) -> None:
    rows = region.store.table.read(ReadQuery(prefixes=[CONFIG_HISTORY_PREFIX])).rows
    assert [row.value["version"] for row in rows] == list(range(1, count + 1))

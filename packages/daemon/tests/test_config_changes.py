"""Configuration changes: concurrent changes, lost replies, and consecutive versions."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from router_fakes import FakeProcess, make_hosts

from jacinthreel_common import (
    CONFIG_HISTORY_PREFIX,
    CONFIG_KEY,
    CellLevel,
    Config,
    Fault,
    GuaranteedShape,
    PresetName,
    ReadQuery,
    ResultCode,
    Workspace,
    convert,
)
from jacinthreel_daemon._config_changes import ChangeAccepted, ConfigChanger
from jacinthreel_daemon._config_rules import (
    ActivatePreset,
    BringZoneIn,
    Change,
    ChangeRequest,
    DeleteWorkspace,
    Initialize,
    SetWorkspace,
    TakeZoneOut,
)
from jacinthreel_jobs import check_guarantees
from jacinthreel_standins import MemoryStore, StoreOutcome


def make_changer(process: FakeProcess) -> ConfigChanger:
    return ConfigChanger(process.context(), process.sleep)


def make_changes(
    store: MemoryStore, *requests: ChangeRequest
) -> list[Result[ChangeAccepted, Fault]]:
    """Makes the changes in sequence and returns their results."""

    async def run() -> list[Result[ChangeAccepted, Fault]]:
        changer = make_changer(FakeProcess(store))
        return [await changer.change(request) for request in requests]

    return asyncio.run(run())


def outcome_name(result: Result[ChangeAccepted, Fault]) -> str:
    """Returns the version of an accepted change, or the name of the result code."""
    match result:
        case Success(ChangeAccepted(version)):
            return f"version {version}"
        case Failure(Fault(code)):
            return code.name
    raise AssertionError(result)


def read_current(store: MemoryStore) -> Config:
    return convert(Config, store.table.rows_by_key[CONFIG_KEY].value).unwrap()


INIT = ChangeRequest(Initialize(), "init")
PEAK = ActivatePreset(PresetName.PEAK)
MAINTENANCE = ActivatePreset(PresetName.MAINTENANCE)
OUT_A = TakeZoneOut("a", "power", 1_000)
ONE_WORKER = Workspace("labels", [GuaranteedShape(CellLevel.WORKER, 1)])
PRESS = Workspace("press", [GuaranteedShape(CellLevel.WORKER, 1)])
TWO_WORKERS = Workspace("labels", [GuaranteedShape(CellLevel.WORKER, 2)])
THREE_WORKERS = Workspace("labels", [GuaranteedShape(CellLevel.WORKER, 3)])

SEQUENCES: dict[str, tuple[list[ChangeRequest], list[str]]] = {
    "the first change creates version 1": ([ChangeRequest(PEAK, "c1")], ["version 1"]),
    "a second initial configuration changes nothing": (
        [INIT, ChangeRequest(Initialize(), "again")],
        ["version 1", "version 1"],
    ),
    "the same change id is accepted once": (
        [INIT, ChangeRequest(PEAK, "c1"), ChangeRequest(OUT_A, "c2"), ChangeRequest(PEAK, "c1")],
        ["version 1", "version 2", "version 3", "version 2"],
    ),
    "a change that is already applied creates no version": (
        [INIT, ChangeRequest(OUT_A, "c1"), ChangeRequest(OUT_A, "c2")],
        ["version 1", "version 2", "version 2"],
    ),
    "an older expected version conflicts": (
        [INIT, ChangeRequest(PEAK, "c1"), ChangeRequest(OUT_A, "c2", expected_version=1)],
        ["version 1", "version 2", "CONFIG_CONFLICT"],
    ),
    "a guarantee has to fit": (
        [ChangeRequest(SetWorkspace(TWO_WORKERS), "c1")]
        + [ChangeRequest(SetWorkspace(THREE_WORKERS), "c2")],
        ["version 1", "GUARANTEES_DO_NOT_FIT"],
    ),
    "all guarantees together have to fit": (
        [
            ChangeRequest(SetWorkspace(TWO_WORKERS), "c1"),
            ChangeRequest(SetWorkspace(PRESS), "c2"),
            ChangeRequest(SetWorkspace(ONE_WORKER), "c3"),
            ChangeRequest(SetWorkspace(PRESS), "c4"),
        ],
        ["version 1", "GUARANTEES_DO_NOT_FIT", "version 2", "version 3"],
    ),
    "names of zones and workspaces have to exist": (
        [
            ChangeRequest(TakeZoneOut("nowhere", "", 0), "c1"),
            ChangeRequest(BringZoneIn("nowhere"), "c2"),
            ChangeRequest(DeleteWorkspace("nobody"), "c3"),
        ],
        ["UNKNOWN_ZONE", "UNKNOWN_ZONE", "UNKNOWN_WORKSPACE"],
    ),
}


@pytest.mark.parametrize("name", SEQUENCES)
def test_sequence_of_changes_has_expected_outcomes(name: str) -> None:
    requests, expected = SEQUENCES[name]
    assert [outcome_name(result) for result in make_changes(MemoryStore(), *requests)] == expected


LOST_REPLY = StoreOutcome.LOST_REPLY
LOST_REQUEST = StoreOutcome.LOST_REQUEST
LATE = StoreOutcome.LATE
REFUSED = StoreOutcome.REFUSED
OUTCOMES: list[tuple[list[StoreOutcome], str, int]] = [
    ([LOST_REPLY], "version 1", 1),
    ([LOST_REQUEST], "version 1", 1),
    ([LATE], "version 1", 1),
    ([LOST_REPLY, LOST_REPLY, LOST_REPLY], "version 1", 1),
    ([REFUSED], "STORE_UNAVAILABLE", 0),
    ([LOST_REPLY, REFUSED], "version 1", 1),
    ([LOST_REQUEST, REFUSED, LOST_REQUEST, REFUSED, LOST_REQUEST, REFUSED], "version 1", 1),
    ([LOST_REQUEST] * 40, "CONFIG_OUTCOME_UNKNOWN", 0),
    ([LOST_REQUEST, *[REFUSED] * 40], "CONFIG_OUTCOME_UNKNOWN", 0),
]


@pytest.mark.parametrize(("outcomes", "expected", "version"), OUTCOMES)
def test_transactions_with_lost_messages_are_resolved(
    outcomes: list[StoreOutcome], expected: str, version: int
) -> None:
    store = MemoryStore(outcomes=deque(outcomes))
    assert outcome_name(make_changes(store, ChangeRequest(PEAK, "c1"))[0]) == expected
    history = [key for key in store.table.rows_by_key if key.startswith(CONFIG_HISTORY_PREFIX)]
    assert len(history) == version


def test_lost_reply_is_resolved_although_some_reads_fail() -> None:
    store = MemoryStore(
        outcomes=deque([LOST_REPLY]), reads_answered=deque([True, False, True, False])
    )
    assert outcome_name(make_changes(store, ChangeRequest(PEAK, "c1"))[0]) == "version 1"


def test_change_during_outage_is_refused_with_known_outcome() -> None:
    result = make_changes(MemoryStore(down=True), INIT)[0]
    assert result.failure().code is ResultCode.STORE_UNAVAILABLE
    assert result.failure().retry_after_ms


def test_accepted_version_is_applied_and_pushed() -> None:
    process = FakeProcess(MemoryStore())
    asyncio.run(make_changer(process).change(INIT))
    assert process.applied_versions == [1]
    assert [message.config.version for message in process.pushed_messages] == [1]


changes: st.SearchStrategy[Change] = st.one_of(
    st.sampled_from(list(PresetName)).map(ActivatePreset),
    st.builds(
        TakeZoneOut, st.sampled_from(["a", "b"]), st.sampled_from(["x", "y"]), st.just(1_000)
    ),
    st.sampled_from(["a", "b"]).map(BringZoneIn),
    st.sampled_from([ONE_WORKER, TWO_WORKERS, PRESS]).map(SetWorkspace),
)
operator_plans = st.lists(
    st.lists(st.tuples(changes, st.none() | st.integers(0, 4)), max_size=3), min_size=2, max_size=4
)
store_outcomes = st.lists(st.sampled_from(list(StoreOutcome)), max_size=12)
read_outcomes = st.lists(st.booleans(), max_size=12)


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(operator_plans, store_outcomes, read_outcomes)
def test_concurrent_changes_create_consecutive_versions(
    plans: list[list[tuple[Change, int | None]]], outcomes: list[StoreOutcome], reads: list[bool]
) -> None:
    store = MemoryStore(outcomes=deque(outcomes), reads_answered=deque(reads))
    accepted: list[tuple[str, ChangeAccepted]] = []
    refused: list[str] = []

    async def run_plan(number: int, plan: list[tuple[Change, int | None]]) -> None:
        changer = make_changer(FakeProcess(store))
        for step, (change, expected) in enumerate(plan):
            change_id = f"c{number}-{step}"
            request = ChangeRequest(change, change_id, f"operator {number}", expected)
            result = await changer.change(request)
            if isinstance(result, Success):
                accepted.append((change_id, result.unwrap()))
            elif result.failure().code is not ResultCode.CONFIG_OUTCOME_UNKNOWN:
                refused.append(change_id)

    async def run() -> None:
        await asyncio.gather(*(run_plan(number, plan) for number, plan in enumerate(plans)))

    asyncio.run(run())
    rows = store.table.read(ReadQuery(prefixes=[CONFIG_HISTORY_PREFIX])).rows
    history = [convert(Config, row.value).unwrap() for row in rows]
    assert [config.version for config in history] == list(range(1, len(history) + 1))
    if history:
        assert read_current(store) == history[-1]
    id_by_version = {config.version: config.change_id for config in history}
    for change_id, result in accepted:
        if result.changed:
            assert id_by_version[result.version] == change_id
    assert not set(refused) & set(id_by_version.values())
    assert len(set(id_by_version.values())) == len(history)
    assert all(set(config.presets) == set(PresetName) for config in history)
    hosts = make_hosts()
    for config in history:
        assert check_guarantees(config.workspaces.values(), hosts) == Success(None)

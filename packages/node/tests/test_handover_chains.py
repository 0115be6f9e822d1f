"""Owners that follow each other while an earlier one renews leases behind a network partition.

Each next owner has to wait for what all earlier ones may have granted, however the last one ended.
Without that, a task runs twice at once: behind the partition and where a next owner restarts it.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from ownership_world import START_MS, FakeExecutor, LinkFault, Node, World, make_job

from jacinthreel_node import RowWrite
from jacinthreel_node._records import LEASE_TABLE, LeaseRow, decode_lease, encode_record
from jacinthreel_steps import JobState

HOSTS = ("1", "2", "3", "4")
EXECUTORS = ("e1", "e2")
JOB_ID = "0000000000000001"
WORK_MS = 30_000
LONGEST_RENEWAL_MS = 12_000
LONGEST_LEASE_MS = 10_300
CUT = LinkFault(loses_requests=True, loses_replies=True)

EndOwner = Callable[[World], None]


def start_world(seed: int) -> World:
    """Returns a world in which one task runs under an owner."""
    world = World(seed)
    for executor_id in EXECUTORS:
        world.executors[executor_id] = FakeExecutor(world, executor_id, 1.0)
        world.executors[executor_id].start_process()
    for host_id in HOSTS:
        world.nodes[host_id] = Node(world, host_id)
    world.advance(3_000)
    world.nodes[HOSTS[0]].submit(make_job(JOB_ID, WORK_MS, 1, 0, False))
    world.advance(1_000)
    return world


def owner_of(world: World) -> Node:
    """Returns the node that the stored owner row names."""
    row = world.owner_row()
    assert row is not None
    return world.nodes[row.host_id]


def cut_off_owner(world: World) -> Node:
    """Cuts the owner off together with the executor of the run, as a lost zone is."""
    owner = owner_of(world)
    [executor_id] = world.running_on.values()
    for party in ("store", *HOSTS, *EXECUTORS):
        if party != executor_id:
            world.faults[(owner.host_id, party)] = CUT
    for host_id in HOSTS:
        if host_id != owner.host_id:
            world.faults[(host_id, executor_id)] = CUT
    return owner


def await_owner(world: World, epoch: int) -> None:
    """Waits until a takeover has raised the epoch beyond `epoch`."""
    for _ in range(200):
        row = world.owner_row()
        if row is not None and row.epoch > epoch:
            return
        world.advance(100)
    raise AssertionError("no node has taken over")


def epoch_of(world: World) -> int:
    row = world.owner_row()
    assert row is not None
    return row.epoch


def kill_and_restart(world: World) -> None:
    owner = owner_of(world)
    owner.kill()
    world.advance(300)
    world.nodes[owner.host_id] = Node(world, owner.host_id)


def kill_for_good(world: World) -> None:
    owner_of(world).kill()


def kill_and_restart_late(world: World) -> None:
    """The process is back only after another host took over, and answers its lease query."""
    owner, epoch = owner_of(world), epoch_of(world)
    owner.kill()
    await_owner(world, epoch)
    world.nodes[owner.host_id] = Node(world, owner.host_id)


def resign(world: World) -> None:
    owner_of(world).resign()


def resign_and_exit(world: World) -> None:
    """The process is gone before the next owner can query it."""
    owner = owner_of(world)
    owner.resign()
    for _ in range(200):
        row = world.store.rows.get((LEASE_TABLE, owner.host_id))
        lease = decode_lease(row.value or b"") if row is not None else None
        if lease is not None and lease.is_resigned:
            break
        world.advance(5)
    owner.kill()


def freeze(world: World) -> None:
    owner_of(world).paused_until_ms = world.now_ms + 5_000


def cut_off_from_peers_and_store(world: World) -> None:
    owner = owner_of(world)
    for party in ("store", *HOSTS):
        world.faults[(owner.host_id, party)] = CUT


def cut_off_from_replies(world: World) -> None:
    owner = owner_of(world)
    world.faults[(owner.host_id, "store")] = LinkFault(loses_replies=True)


def kill_in_silent_store(world: World) -> None:
    """The store doesn't answer while the owner restarts."""
    faults = dict(world.faults)
    for host_id in HOSTS:
        world.faults[(host_id, "store")] = CUT
    world.advance(400)
    kill_and_restart(world)
    world.advance(900)
    world.faults = faults


ENDINGS: tuple[EndOwner, ...] = (
    kill_and_restart,
    kill_for_good,
    kill_and_restart_late,
    resign,
    resign_and_exit,
    freeze,
    cut_off_from_peers_and_store,
    cut_off_from_replies,
    kill_in_silent_store,
)


def check_chain(world: World, endings: tuple[EndOwner, ...], pause_ms: int) -> None:
    """Ends owner after owner behind the partition of the first one, and checks the outcome."""
    epoch = epoch_of(world)
    cut_off_owner(world)
    for ending in endings:
        await_owner(world, epoch)
        world.advance(pause_ms)
        epoch = epoch_of(world)
        ending(world)
    await_owner(world, epoch)
    world.advance(LONGEST_RENEWAL_MS + LONGEST_LEASE_MS)
    assert not world.violations, world.violations
    world.faults.clear()
    world.advance(60_000)
    assert not world.violations, world.violations
    owners = [node for node in world.nodes.values() if node.is_alive and node.elector.ownership]
    assert len(owners) == 1
    ownership = owners[0].elector.ownership
    assert ownership is not None
    assert ownership.job_state(JOB_ID) is JobState.COMPLETED


def close(world: World) -> None:
    for node in world.nodes.values():
        if node.is_alive:
            node.kill()


@pytest.mark.parametrize("pause_ms", [100, 800])
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.__name__)
def test_next_owner_waits_for_leases_behind_the_partition(ending: EndOwner, pause_ms: int) -> None:
    # Guards against a restart of the run while the first owner still renews its lease.
    world = start_world(7)
    try:
        check_chain(world, (ending,), pause_ms)
    finally:
        close(world)


@pytest.mark.parametrize(
    "endings",
    [
        (kill_and_restart, kill_and_restart),
        (kill_and_restart, resign),
        (resign, kill_and_restart),
        (resign, resign_and_exit),
        (kill_for_good, kill_and_restart),
        (freeze, kill_and_restart),
        (cut_off_from_replies, resign),
        (kill_and_restart, kill_and_restart, kill_and_restart),
        (resign, kill_and_restart, kill_for_good),
    ],
    ids=lambda endings: "-".join(ending.__name__ for ending in endings),
)
def test_owners_after_the_next_one_wait_as_well(endings: tuple[EndOwner, ...]) -> None:
    # Guards against a bound that the next owner knows and the one after it doesn't.
    world = start_world(11)
    try:
        check_chain(world, endings, 400)
    finally:
        close(world)


def cut_off_executor(world: World) -> None:
    """Cuts the executor of the run off from all hosts."""
    [executor_id] = world.running_on.values()
    for host_id in HOSTS:
        world.faults[(host_id, executor_id)] = CUT


def ms_until_run_lost(world: World, since_ms: int) -> int:
    """Returns how long after `since_ms` an owner gave the run up."""
    [lost_ms] = [time_ms for time_ms, _, event, _ in world.log_lines if event == "run_lost"]
    return START_MS + lost_ms - since_ms


@pytest.mark.parametrize("ending", [kill_and_restart, resign, resign_and_exit])
def test_ordinary_hand_over_waits_for_one_lease_only(ending: EndOwner) -> None:
    # Guards against a wait for owners whose leases have ended, or whom the executor refuses.
    world = start_world(3)
    try:
        world.advance(2_000)
        epoch = epoch_of(world)
        cut_off_executor(world)
        ending(world)
        await_owner(world, epoch)
        taken_over_ms = world.now_ms
        world.advance(LONGEST_LEASE_MS + 800)
        assert ms_until_run_lost(world, taken_over_ms) <= LONGEST_LEASE_MS + 600
        assert not world.violations, world.violations
    finally:
        close(world)


def test_executor_that_answered_an_owner_needs_no_wait_for_those_before() -> None:
    # The first owner may live on, but the executor refuses it since it answered the second one.
    world = start_world(5)
    try:
        epoch = epoch_of(world)
        cut_off_from_peers_and_store(world)
        await_owner(world, epoch)
        world.advance(1_500)
        epoch = epoch_of(world)
        cut_off_executor(world)
        kill_and_restart(world)
        await_owner(world, epoch)
        taken_over_ms = world.now_ms
        world.advance(LONGEST_LEASE_MS + 800)
        assert ms_until_run_lost(world, taken_over_ms) <= LONGEST_LEASE_MS + 600
        assert not world.violations, world.violations
    finally:
        close(world)


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"?",
        encode_record(LeaseRow(2, 9)),
        encode_record(LeaseRow(1, 9)),
        b"\x84\xa5epoch\x02\xa5count\x01\xabis_resigned\xc2"
        b"\xaeearlier_leases\x82\xb3left_ms_by_executor\x80\xa9others_ms\xff",
    ],
    ids=["missing", "unreadable", "earlier version", "another epoch", "negative"],
)
def test_stored_bound_that_is_not_usable_counts_as_the_longest(value: bytes | None) -> None:
    # Guards against a restart of the run by an owner that takes a bad bound for none.
    world = start_world(7)
    try:
        epoch = epoch_of(world)
        cut_off_owner(world)
        await_owner(world, epoch)
        world.advance(900)
        owner, epoch = owner_of(world), epoch_of(world)
        assert epoch == 2
        owner.kill()
        world.put_row(RowWrite(LEASE_TABLE, owner.host_id, value))
        world.nodes[owner.host_id] = Node(world, owner.host_id)
        await_owner(world, epoch)
        world.advance(LONGEST_RENEWAL_MS + LONGEST_LEASE_MS)
        assert not world.violations, world.violations
    finally:
        close(world)

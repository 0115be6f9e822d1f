"""Assigns executors to relays by weighted rendezvous hashing.

The relay with the highest score for an executor gets it; the scores depend only on the two names
and the relay's weight.  A new owner therefore computes nearly the same assignment, and a lost relay
moves only its own executors.  Relays in the executor's zone come first.  A current relay keeps its
executors until it can't serve them, is not selected any more, or has far more than its share while
a better one has been ready for `MOVE_READY_MS`.  Such moves are limited to `MAX_MOVES_PER_ROUND`,
because new connections to executors are expensive.

Only as many relays are selected as the executors need, because each one costs the owner messages.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

MOVE_READY_MS: Final = 3_000
MAX_MOVES_PER_ROUND: Final = 20
OVERLOAD_FACTOR: Final = 1.5  # Hashing alone deviates by about a third from the fair share.
MAX_SCORES_PER_ROUND: Final = 20_000  # About 25 ms; longer rounds would delay other events.
# A relay of 20 executors polls 25 times a second, which keeps it near 1 % of a core.
EXECUTORS_PER_RELAY: Final = 20

_MASK: Final = 2**64 - 1


@dataclass(slots=True)
class RelayCandidate:
    """A relay that may get executors; `count` is how many it has."""

    session: int
    host_id: str
    zone: str
    weight: int
    max_executors: int
    ready_ms: int
    is_draining: bool
    count: int = 0
    name_hash: int = 0

    def __post_init__(self) -> None:
        self.name_hash = _hash_name(self.host_id)

    @property
    def has_room(self) -> bool:
        """Whether the relay may get another executor."""
        return not self.is_draining and self.count < self.max_executors


@dataclass(frozen=True, slots=True)
class AssignedExecutor:
    """An executor to assign; `session` is its current relay's, None for none.

    `avoided_host` is a relay that could not reach the executor, "" for none.
    """

    executor_id: str
    zone: str
    session: int | None
    avoided_host: str = ""


@dataclass(slots=True)
class Moves:
    """The result of one round: the new session of each executor that changes.

    `moved` counts those that were settled.
    """

    session_by_executor: dict[str, int] = field(default_factory=dict)
    moved: int = 0


def select_relays(
    relays: list[RelayCandidate], executors_by_zone: dict[str, int]
) -> list[RelayCandidate]:
    """Returns the relays to use: those with the most weight, as many as each zone needs.

    Executors of zones with too few relays are served by those of other zones.
    """
    ranked = sorted(relays, key=lambda relay: (-relay.weight, relay.name_hash))
    usable = [relay for relay in ranked if not relay.is_draining]
    selected: dict[int, RelayCandidate] = {}
    missing = 0
    for zone, count in executors_by_zone.items():
        needed = math.ceil(count / EXECUTORS_PER_RELAY)
        of_zone = [relay for relay in usable if relay.zone == zone][:needed]
        selected.update((relay.session, relay) for relay in of_zone)
        missing += needed - len(of_zone)
    others = [relay for relay in usable if relay.session not in selected][:missing]
    return [*selected.values(), *others]


def assign(
    unplaced: Iterable[AssignedExecutor],
    settled: Iterable[AssignedExecutor],
    relays: list[RelayCandidate],
    now_ms: int,
) -> Moves:
    """Returns the changes of one round.

    `unplaced` executors have no relay, or one that can't serve them any more.  `settled` ones move
    only to a better relay.  What exceeds the limits of a round is left for the next one.
    """
    moves = Moves()
    pools = _RelayPools(relays)
    for executor in unplaced:
        if pools.score_count >= MAX_SCORES_PER_ROUND:
            return moves
        best = pools.best(executor, lambda relay: relay.has_room)
        if best is not None:
            moves.session_by_executor[executor.executor_id] = best.session
            best.count += 1
    by_session = {relay.session: relay for relay in relays}
    total_weight = sum(relay.weight for relay in relays)
    count_per_weight = sum(relay.count for relay in relays) / max(1, total_weight)
    for executor in settled:
        current = by_session.get(executor.session) if executor.session is not None else None
        if pools.score_count >= MAX_SCORES_PER_ROUND or moves.moved >= MAX_MOVES_PER_ROUND:
            break
        best = pools.best(executor, lambda relay: _can_attract_moves(relay, now_ms))
        if best is None or best is current:
            continue
        if current is None or _should_move(best, current, executor.zone, count_per_weight):
            moves.session_by_executor[executor.executor_id] = best.session
            moves.moved += 1
            best.count += 1
            if current is not None:
                current.count -= 1
    return moves


def _can_attract_moves(relay: RelayCandidate, now_ms: int) -> bool:
    return relay.has_room and now_ms - relay.ready_ms >= MOVE_READY_MS


def _should_move(
    best: RelayCandidate, current: RelayCandidate, zone: str, count_per_weight: float
) -> bool:
    """Whether an executor moves: to its own zone, or away from a relay with too many."""
    if (best.zone == zone) != (current.zone == zone):
        return best.zone == zone
    is_overloaded = current.count > OVERLOAD_FACTOR * current.weight * count_per_weight
    return is_overloaded and best.count < best.weight * count_per_weight


class _RelayPools:
    """The relays by zone; other zones are used if the executor's zone has no usable relay."""

    def __init__(self, relays: list[RelayCandidate]) -> None:
        self.score_count = 0
        self._all = relays
        self._by_zone: dict[str, list[RelayCandidate]] = {}
        for relay in relays:
            self._by_zone.setdefault(relay.zone, []).append(relay)

    def best(
        self, executor: AssignedExecutor, is_usable: Callable[[RelayCandidate], bool]
    ) -> RelayCandidate | None:
        """Returns the usable relay with the highest score, or None."""
        name_hash = _hash_name(executor.executor_id)
        for pool in (self._by_zone.get(executor.zone, []), self._all):
            usable = [
                relay
                for relay in pool
                if is_usable(relay) and relay.host_id != executor.avoided_host
            ]
            self.score_count += len(usable)
            if usable:
                return max(usable, key=lambda relay: (_score(relay, name_hash), relay.host_id))
        return None


def _hash_name(name: str) -> int:
    return _mix(zlib.crc32(name.encode()) + 1)


def _mix(value: int) -> int:
    """Mixes the bits of a 64-bit number (the finalizer of SplitMix64)."""
    value = (value * 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def _score(relay: RelayCandidate, executor_hash: int) -> float:
    """Returns the score of weighted rendezvous hashing.

    The probability that a relay has the highest score is its share of the total weight.
    """
    uniform = (_mix(relay.name_hash ^ executor_hash) + 1) / (_MASK + 2)
    return -relay.weight / math.log(uniform) if uniform < 1 else math.inf

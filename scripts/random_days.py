"""Writes random disruption days for the users' test bench.

`python scripts/random_days.py FOLDER FIRST_SEED COUNT` writes `random-SEED.toml` for each seed, and
with `restarts` as a fourth argument `restarts-SEED.toml`: days on which executors start again under
their ids, in and around cuts, while some orders are carried out late and owners end.
The bench's own random search combines only the disruptions that a site file lists.  These days
draw from all kinds and variants that the bench supports, several of them overlapping, so that they
also find a rule that fails only under a disruption that no site lists.  A seed always gives the
same day.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

DAY_LENGTH_S: Final = 27.0
MIN_ENTRIES: Final = 4
MAX_ENTRIES: Final = 9
RESTARTS_LENGTH_S: Final = 46.0
RESTARTS_END_S: Final = 38.0  # The last executors are back before the traffic ends.


@dataclass(frozen=True, slots=True)
class Disruption:
    """A kind of disruption with its variants and the ranges of its parameters.

    `table` is the list in the day file to which the disruption is added.  A parameter whose range
    is None is omitted.  `fixed` is added to the entry verbatim.
    """

    kind: str
    table: str = "faults"
    variants: tuple[str, ...] = ("",)
    for_s: tuple[float, float] | None = None
    share: tuple[float, float] | None = None
    strength: tuple[float, float] | None = None
    gap_s: tuple[float, float] | None = None
    count: tuple[int, int] | None = None
    fixed: str = ""


@dataclass(frozen=True, slots=True)
class Closing:
    """A fault of all machines at the end of a day."""

    kind: str
    variants: tuple[str, ...] = ("",)


DISRUPTIONS: Final = (
    Disruption("burst", for_s=(3, 7), strength=(1.5, 3)),
    Disruption("give_up", variants=("", "once", "prompt"), for_s=(3, 8), share=(0.2, 0.5)),
    Disruption("srv_slow", for_s=(3, 8), share=(0.1, 0.3), strength=(3, 8)),
    Disruption(
        "srv_grey",
        variants=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        for_s=(3, 8),
        share=(0.1, 0.25),
        strength=(0.4, 1),
    ),
    Disruption("scale_in", "plan", share=(0.06, 0.15)),
    Disruption("scale_in", "plan", ("spot", "reclaim"), share=(0.1, 0.2), strength=(1, 3)),
    Disruption("release", "plan", share=(0.3, 0.6), gap_s=(0.5, 1.5)),
    Disruption(
        "node_kill",
        variants=("", "power", "leader", "leader power", "giver", "renewed", "reader"),
        for_s=(1, 4),
        count=(1, 2),
        fixed='on = "core"',
    ),
    Disruption(
        "node_kill",
        variants=("leader race drain", "meet drain", "leader hard", "leader meet"),
        for_s=(1, 4),
        count=(1, 1),
        fixed='on = "core"',
    ),
    Disruption(
        "node_freeze",
        variants=("", "renewed", "leader", "giver"),
        for_s=(1, 6),
        count=(1, 2),
        fixed='on = "core"',
    ),
    Disruption("node_slow", for_s=(3, 7), share=(0.1, 0.4), strength=(3, 8)),
    Disruption(
        "roll_term",
        "plan",
        ("", "busy", "leader", "starter", "remove"),
        share=(0.3, 1),
        strength=(1, 2),
        gap_s=(1, 2.5),
    ),
    Disruption("herd_kill", variants=("", "power"), for_s=(1, 3), share=(0.3, 0.8)),
    Disruption(
        "herd_kill",
        variants=("", "off", "power", "taken", "taken all"),
        for_s=(1, 4),
        share=(1, 1),
        fixed='on = "core"',
    ),
    Disruption("add_nodes", "plan", share=(0.5, 1)),
    Disruption("replace_core", variants=("", "leader", "oldest", "planned"), strength=(0.5, 3)),
    Disruption(
        "after_ack_kill",
        variants=("", "kill", "timed", "taken", "taken gone"),
        for_s=(1, 4),
        count=(1, 2),
    ),
    Disruption("reset_conns", share=(0.2, 0.8), strength=(0.3, 1)),
    Disruption(
        "core_cut",
        variants=(
            "",
            "leader",
            "leader refuse",
            "leader race",
            "all",
            "near",
            "reset",
            "leader all",
        ),
        for_s=(2, 8),
        count=(1, 2),
    ),
    Disruption(
        "core_cut",
        variants=("one_way", "both", "lure", "relieve", "split", "leader one_way"),
        for_s=(2, 8),
        count=(1, 2),
    ),
    Disruption("node_cut", variants=("", "all", "reset", "leader"), for_s=(2, 8), share=(0.1, 0.3)),
    Disruption(
        "node_cut",
        variants=("servers", "servers reborn"),
        for_s=(2, 9),
        share=(0.1, 0.3),
        fixed='service = "@s0"',
    ),
    Disruption(
        "srv_cut",
        variants=("", "fronts", "some", "one_way", "reset", "reborn", "some lossy"),
        for_s=(2, 8),
        share=(0.1, 0.3),
        strength=(0.3, 0.6),
    ),
    Disruption(
        "platform_down",
        variants=("silent", "busy", "reset", "silent lapse", "busy lapse"),
        for_s=(1, 8),
    ),
    Disruption(
        "platform_down",
        variants=("nodes busy", "nodes many", "nodes reset", "nodes", "nodes leader busy revoke"),
        for_s=(2, 9),
        share=(0.2, 0.5),
    ),
    Disruption(
        "platform_down",
        variants=("tables silent", "tables busy", "tables reset"),
        for_s=(2, 8),
        share=(0.3, 0.7),
    ),
    Disruption("platform_slow", for_s=(2, 6), strength=(20, 60)),
    Disruption("platform_lost", variants=("", "late"), for_s=(2, 6), strength=(0.2, 0.5)),
    Disruption("platform_compact", variants=("", "drain"), for_s=(5, 12), strength=(2, 6)),
    Disruption("config_change", "plan", ("route", "weights", "timeout", "tenant", "quota", "idle")),
    Disruption("config_storm", "plan", ("", "idle", "timeout"), for_s=(1, 4), gap_s=(0.06, 0.3)),
    Disruption("big_config", "plan", count=(200, 800)),
    Disruption("revoke", "plan", ("", "last"), count=(1, 3), gap_s=(0.1, 1)),
    Disruption("evacuate", "plan", ("", "warm"), for_s=(4, 10), fixed='zone = "@z0"'),
    Disruption(
        "applied_late", variants=("", "orders", "grants", "all"), for_s=(2, 8), strength=(0.05, 0.5)
    ),
    Disruption("poison", for_s=(2, 5), share=(0.05, 0.3), fixed='class = "@c0"'),
    Disruption("clock_step", variants=("", "back", "ahead"), for_s=(2, 6), share=(0.2, 0.6)),
    Disruption("hup", "plan", share=(0.3, 1), gap_s=(0.5, 3)),
    Disruption("zone_loss", for_s=(1, 4), fixed='zone = "@z0"'),
    Disruption("zone_cut", for_s=(2, 7), fixed='zone = "@z0"'),
)
CLOSINGS: Final = (
    Closing("power_off_all", ("", "taken", "all", "timed")),
    Closing("kill_all", ("", "taken", "timed")),
)


def make_day(seed: int) -> str:
    """Returns the text of the day file of a seed."""
    rng = random.Random(seed)
    lines_by_table: dict[str, list[str]] = {"plan": [], "faults": []}
    for _ in range(rng.randint(MIN_ENTRIES, MAX_ENTRIES)):
        disruption = rng.choice(DISRUPTIONS)
        lines_by_table[disruption.table].append(_make_entry(disruption, rng))
    lines = ["[[day]]", f'name = "random-{seed}"', 'slot = "trouble"']
    if rng.random() < 0.6:
        lines.append(f"closing = {_make_closing(rng)}")
    for table, entries in lines_by_table.items():
        lines += [f"{table} = [", *entries, "]"]
    return "\n".join(lines) + "\n"


def make_restarts_day(seed: int) -> str:
    """Returns the text of a day with restarts of executors under their ids."""
    rng = random.Random(seed)
    faults = ['at = 1.0, kind = "poison", how = "long", share = 0.35, x = 12.0, for_s = 40.0']
    if rng.random() < 0.5:
        how = rng.choice(("orders", "all"))
        share = rng.uniform(0.2, 0.6)
        faults.append(
            f'at = 4.0, kind = "applied_late", how = "{how}", x = {share:.2f}, for_s = 36.0'
        )
    start_s = rng.uniform(4, 7)
    while start_s < RESTARTS_END_S:
        faults += _make_restart(rng, start_s)
        start_s += rng.uniform(6, 12)
    lines = ["[[day]]", f'name = "restarts-{seed}"', 'slot = "trouble"']
    lines += [f"length_s = {RESTARTS_LENGTH_S}", "faults = ["]
    lines += [f"  {{ {fault} }}," for fault in faults]
    lines.append("]")
    return "\n".join(lines) + "\n"


def _make_restart(rng: random.Random, start_s: float) -> list[str]:
    """Returns one restart of a zone's executors with the cut and the end of an owner around it."""
    place = 'service = "@s0", share = 1.0'
    if rng.random() < 0.7:
        place += ', zone = "@z0"'
    down_s = rng.uniform(0.05, 2)
    faults = [f'at = {start_s:.2f}, kind = "srv_crash", how = "same dark", for_s = {down_s:.2f}']
    match rng.choice(("none", "before", "after", "around")):
        case "before":
            cut = (max(0, start_s - rng.uniform(2, 6)), start_s - rng.uniform(0, 0.5))
        case "after":
            cut_s = start_s + down_s + rng.uniform(0, 3)
            cut = (cut_s, cut_s + rng.uniform(2, 9))
        case "around":
            cut = (start_s - rng.uniform(0.5, 4), start_s + down_s + rng.uniform(0.5, 5))
        case _:
            cut = (0.0, 0.0)
    if cut[1]:
        for_s = cut[1] - cut[0]
        faults.append(f'at = {cut[0]:.2f}, kind = "node_cut", how = "servers", for_s = {for_s:.2f}')
    faults = [f"{fault}, {place}" for fault in faults]
    if rng.random() < 0.35:
        kill_s = start_s + rng.uniform(-1, 3)
        how = rng.choice(("leader", "starter leader"))
        kill = f'at = {kill_s:.2f}, kind = "node_kill", on = "core", count = 1, how = "{how}"'
        faults.append(kill)
    return faults


def _make_entry(disruption: Disruption, rng: random.Random) -> str:
    fields = [f"at = {rng.uniform(1, DAY_LENGTH_S):.2f}", f'kind = "{disruption.kind}"']
    variant = rng.choice(disruption.variants)
    if variant:
        fields.append(f'how = "{variant}"')
    for name, bounds in (
        ("for_s", disruption.for_s),
        ("share", disruption.share),
        ("x", disruption.strength),
        ("gap_s", disruption.gap_s),
    ):
        if bounds is not None:
            fields.append(f"{name} = {rng.uniform(*bounds):.2f}")
    if disruption.count is not None:
        fields.append(f"count = {rng.randint(*disruption.count)}")
    if disruption.fixed:
        fields.append(disruption.fixed)
    return f"  {{ {', '.join(fields)} }},"


def _make_closing(rng: random.Random) -> str:
    closing = rng.choice(CLOSINGS)
    fields = [f'kind = "{closing.kind}"', f"down_s = {rng.uniform(0.8, 2):.2f}"]
    variant = rng.choice(closing.variants)
    if variant:
        fields.append(f'how = "{variant}"')
    return f"{{ {', '.join(fields)} }}"


def main(arguments: list[str]) -> int:
    """Writes the day files; returns the exit status."""
    is_restarts = arguments[3:] == ["restarts"]
    if len(arguments) != 3 and not is_restarts:
        print(__doc__)
        return 2
    folder = Path(arguments[0])
    first_seed, count = int(arguments[1]), int(arguments[2])
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first_seed, first_seed + count):
        if is_restarts:
            (folder / f"restarts-{seed}.toml").write_text(make_restarts_day(seed))
            continue
        (folder / f"random-{seed}.toml").write_text(make_day(seed))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

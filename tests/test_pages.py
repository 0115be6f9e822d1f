"""Checks that commands, metrics, log events and messages on the documentation pages exist."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest

from jacinthreel_cli.__main__ import app
from jacinthreel_common import MESSAGES_BY_KIND

ROOT = Path(__file__).resolve().parent.parent
PAGES = [ROOT / "docs" / "OPERATING.md", ROOT / "README.md"]
COMMAND = re.compile(r"^(?:\$ |\.venv/bin/)jacinthreel (.*)$", re.MULTILINE)
SOURCES = "\n".join(path.read_text() for path in sorted(ROOT.glob("packages/*/src/*/*.py")))


def read_commands() -> list[str]:
    return [line for page in PAGES for line in COMMAND.findall(page.read_text())]


def read_names(heading: str) -> set[str]:
    """Returns the names in backquotes in the first column of the table under a heading."""
    section = PAGES[0].read_text().split(f"### {heading}\n")[1].split("\n### ")[0]
    cells = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {name for cell in cells for name in re.findall(r"`([a-z_]+)`", cell)}


@pytest.mark.parametrize("command", read_commands())
def test_documented_commands_parse(command: str) -> None:
    app.parse_args(shlex.split(command), exit_on_error=False, print_error=False)


def test_every_stream_message_is_on_the_protocol_page() -> None:
    section = (ROOT / "docs" / "PROTOCOL.md").read_text().split("### Messages\n")[1]
    listed = re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)
    assert sorted(listed) == sorted(MESSAGES_BY_KIND)


@pytest.mark.parametrize("heading", ["Alarms", "Log lines"])
def test_documented_metrics_and_events_exist(heading: str) -> None:
    names = read_names(heading)
    assert len(names) >= 10
    assert {name for name in names if not re.search(rf"[\"']{name}\b", SOURCES)} == set()

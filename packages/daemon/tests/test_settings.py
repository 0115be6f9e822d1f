"""Settings files: the cases of `cases/settings.case`, the example files and `check-config`.

A case changes or removes one key of `examples/association.toml` and gives the expected error line.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from jacinthreel_daemon._settings import load_settings

ROOT = Path(__file__).resolve().parents[3]
EXAMPLE = ROOT / "examples" / "association.toml"
CASES = (Path(__file__).parent / "cases" / "settings.case").read_text()


def write_toml(data: dict[str, Any], prefix: str = "") -> str:
    lines = [f"{prefix}{k} = {json.dumps(v)}\n" for k, v in data.items() if type(v) is not dict]
    tables = [write_toml(v, f"{prefix}{k}.") for k, v in data.items() if type(v) is dict]
    return "".join(lines + tables)


def read_cases() -> list[tuple[str, str, str]]:
    """Returns the name, the change and the expected line of each case."""
    blocks = [block.strip().splitlines() for block in CASES.split("-- ")[1:]]
    return [(name, change, expected.removeprefix("=> ")) for name, change, expected in blocks]


@pytest.mark.parametrize(("name", "change", "expected"), read_cases())
def test_changed_key_gives_expected_error_line(
    name: str, change: str, expected: str, tmp_path: Path
) -> None:
    data: dict[str, Any] = tomllib.loads(EXAMPLE.read_text())
    path, _, value = change.partition(" = ")
    *tables, key = path.split(".")
    table = data
    for part in tables:
        table = table[part]
    table.pop(key, None)
    if value:
        table[key] = json.loads(value)
    file = tmp_path / "host.toml"
    file.write_text(write_toml(data))
    assert load_settings(str(file)).failure().line() == f"{file}: {expected}"


@pytest.mark.parametrize("content", [b"a = [", b"\xff\xfe", b"a = 1\na = 2"])
def test_malformed_file_gives_one_error_line(content: bytes, tmp_path: Path) -> None:
    file = tmp_path / "host.toml"
    file.write_bytes(content)
    line = load_settings(str(file)).failure().line()
    assert line.startswith(f"{file}: file: not ") and line.endswith("(1001 MALFORMED_BODY)")
    assert "\n" not in line


@pytest.mark.parametrize("name", ["association", "depot"])
def test_example_files_are_valid(name: str) -> None:
    assert load_settings(str(ROOT / "examples" / f"{name}.toml")).unwrap().router.http_port == 8080


def test_check_config_reports_a_missing_file_with_status_2_and_one_line() -> None:
    def check(file: str) -> tuple[int, str, str]:
        command = [sys.executable, "-m", "jacinthreel_daemon", "check-config", file]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=60)
        return ended.returncode, ended.stdout, ended.stderr

    assert check(str(EXAMPLE)) == (0, f"{EXAMPLE}: ok\n", "")
    expected = "/nonexistent.toml: file: No such file or directory (1008 BAD_SETTINGS)\n"
    assert check("/nonexistent.toml") == (2, "", expected)

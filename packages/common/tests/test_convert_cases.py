"""Runs the cases of `cases/convert.case`: a record, a body, and the code and path expected."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from returns.pipeline import is_successful

from jacinthreel_common import Config, JobSpec, PresetSettings, ResultCode, Workspace, decode_json

KINDS_BY_NAME = {kind.__name__: kind for kind in (Config, JobSpec, PresetSettings, Workspace)}


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    kind: str
    body: str
    code: ResultCode
    path: str


def read_cases() -> list[Case]:
    text = (Path(__file__).parent / "cases" / "convert.case").read_text()
    cases: list[Case] = []
    for block in text.split("-- ")[1:]:
        name, record, expected = block.strip().splitlines()
        kind, _, body = record.partition(" ")
        code, _, path = expected.removeprefix("=> ").partition(" ")
        cases.append(Case(name, kind, body, ResultCode[code], path))
    return cases


@pytest.mark.parametrize("case", read_cases(), ids=lambda case: case.name)
def test_convert(case: Case) -> None:
    result = decode_json(KINDS_BY_NAME[case.kind], case.body.encode())
    if case.code is ResultCode.OK:
        assert is_successful(result)
        return
    fault = result.failure()
    assert fault.code is case.code
    assert case.path in fault.detail

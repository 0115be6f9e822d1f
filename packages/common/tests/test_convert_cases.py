"""Decodes the bodies in `cases/convert.case` and checks the result code and the field path.

Each case has a name, a record type with a JSON body, and the expected code with a part of the
expected error detail.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from returns.pipeline import is_successful

from jacinthreel_common import Config, JobSpec, PresetSettings, ResultCode, Workspace, decode_json

RECORD_TYPES_BY_NAME = {
    record_type.__name__: record_type
    for record_type in (Config, JobSpec, PresetSettings, Workspace)
}


@dataclass(frozen=True, slots=True)
class Case:
    name: str
    record_type: str
    body: str
    code: ResultCode
    path: str


def read_cases() -> list[Case]:
    text = (Path(__file__).parent / "cases" / "convert.case").read_text()
    cases: list[Case] = []
    for block in text.split("-- ")[1:]:
        name, record, expected = block.strip().splitlines()
        record_type, _, body = record.partition(" ")
        code, _, path = expected.removeprefix("=> ").partition(" ")
        cases.append(Case(name, record_type, body, ResultCode[code], path))
    return cases


@pytest.mark.parametrize("case", read_cases(), ids=lambda case: case.name)
def test_decode_json_returns_expected_code_and_path(case: Case) -> None:
    result = decode_json(RECORD_TYPES_BY_NAME[case.record_type], case.body.encode())
    if case.code is ResultCode.OK:
        assert is_successful(result)
        return
    fault = result.failure()
    assert fault.code is case.code
    assert case.path in fault.detail

"""Checks that the page of result codes matches the table in the code."""

from __future__ import annotations

from write_result_codes import PAGE, make_page

from jacinthreel_common import RESULT_TABLE, ResultCode


def test_the_page_is_generated_from_the_table() -> None:
    assert PAGE.read_text() == make_page()


def test_every_code_has_a_row() -> None:
    assert set(RESULT_TABLE) == set(ResultCode)
    page = make_page()
    assert all(f"| {int(code)} | {code.name} |" in page for code in ResultCode)

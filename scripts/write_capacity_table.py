"""Writes the table of docs/CAPACITY.md from `build/slopes.json`.

The table is between two marker lines; the text around them is left unchanged.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
SLOPES: Final = ROOT / "build" / "slopes.json"
PAGE: Final = ROOT / "docs" / "CAPACITY.md"
BEGIN: Final = "<!-- slopes: begin -->"
END: Final = "<!-- slopes: end -->"
HEADER: Final = (
    "| Role | Quantity | Against | Intercept | Slope | Spread "
    "| Target | At target | Limit | Holds |\n"
    "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | --- |\n"
)


def format_row(row: dict[str, Any]) -> str:
    """Returns one line of the table."""
    limit = "" if row["limit"] is None else f"{row['limit']:g}"
    verdict = "" if row["limit"] is None else ("yes" if row["holds"] else "**no**")
    return (
        f"| {row['role']} | {row['quantity']}, {row['unit']} | {row['x']} "
        f"| {row['intercept']:.3g} | {row['slope']:.3g} | {row['spread']:.2g} "
        f"| {row['target']:.4g} | {row['at_target']:.3g} | {limit} | {verdict} |\n"
    )


def main() -> int:
    """Replaces the table in the page; returns the exit status."""
    rows: list[dict[str, Any]] = json.loads(SLOPES.read_text())
    table = HEADER + "".join(format_row(row) for row in rows)
    page = PAGE.read_text()
    before, rest = page.split(BEGIN)
    _, after = rest.split(END)
    PAGE.write_text(f"{before}{BEGIN}\n\n{table}\n{END}{after}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

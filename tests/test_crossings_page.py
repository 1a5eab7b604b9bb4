"""docs/crossings.md: each row names a test that exists, or says that it is a gap."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "crossings.md"
TEST_NAME = re.compile(r"`(tests/\w+\.py)(?:::(\w+)(?:\[[^`]*\])?)?`")
HEADER = ("what crosses", "what holds", "test")


def table_rows(text: str) -> list[list[str]]:
    lines = [line for line in text.splitlines() if line.startswith("|") and not line.startswith("| ---")]
    cells = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    return [row for row in cells if tuple(cell.strip("| ") for cell in row) != HEADER]


def function_names(file: str) -> set[str]:
    tree = ast.parse((ROOT / file).read_text())
    return {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}


def find_faults(text: str) -> list[str]:
    """Rows that name neither a test nor a gap, and tests that do not exist."""
    found = []
    for row in table_rows(text):
        line = " | ".join(row)
        named = TEST_NAME.findall(line)
        if not named and not any(cell.startswith("gap: ") for cell in row):
            found.append(f"neither a test nor a gap: {row[0]}")
        for file, name in named:
            if not (ROOT / file).is_file() or (name and name not in function_names(file)):
                found.append(f"no such test: {file}::{name}")
    return found


def test_each_row_has_a_test_or_is_a_gap() -> None:
    text = PAGE.read_text()
    assert len(table_rows(text)) > 60
    assert find_faults(text) == []


@pytest.mark.parametrize(
    "test", ["", "a gap", "`tests/test_none.py::test_x`", "`tests/test_idle.py::test_x`"]
)
def test_a_row_without_its_test_is_found(test: str) -> None:
    assert len(find_faults(f"| a | b | {test} |")) == 1


def test_the_page_of_rules_names_tests_that_exist() -> None:
    """docs/rules.md: each row names a test, or says that it is a gap."""
    text = (ROOT / "docs" / "rules.md").read_text()
    lines = [line for line in text.splitlines() if line.startswith("|") and not line.startswith("| ---")][1:]
    assert len(lines) > 25
    for line in lines:
        named = TEST_NAME.findall(line)
        assert named or "gap" in line, line
        for file, name in named:
            assert (ROOT / file).is_file() and (not name or name in function_names(file)), (file, name)

"""Modules import only lower layers; an import added on purpose breaks the contract in pyproject.toml."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LINT = Path(sys.executable).with_name("lint-imports")
DOWN, LAB, PURE = "Imports go down only", "Nothing but the command imports", "What decides does no I/O"


def broken_contracts(folder: Path) -> set[str]:
    """Names of the contracts that a checkout breaks; the exit code must agree with them."""
    done = subprocess.run([LINT, "--no-cache"], cwd=folder, capture_output=True, text=True, timeout=120)
    names = {name for name in (DOWN, LAB, PURE) for line in done.stdout.splitlines()
             if line.startswith(name) and line.endswith("BROKEN")}  # fmt: skip
    assert "Contracts: " in done.stdout and bool(names) == bool(done.returncode), done.stdout + done.stderr
    return names


@pytest.fixture(scope="module")
def checkout(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("checkout")
    shutil.copytree(ROOT / "quincepier", folder / "quincepier", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", folder)
    return folder


def test_the_layers_hold(checkout: Path) -> None:
    assert broken_contracts(checkout) == set()


@pytest.mark.parametrize(
    ("module", "statement", "expected"),
    [
        ("maintenance/disruption_budget.py", "import quincepier.tenancy", {DOWN}),  # same layer
        ("wire/lines.py", "import quincepier.config", {DOWN}),  # higher layer
        ("rules/lease_table.py", "import quincepier.net", {DOWN, PURE}),
        ("net/actor_dependencies.py", "import quincepier.lab", {DOWN, LAB}),
        ("policy/latency.py", "import time", {PURE}),
        ("keys.py", "import quincepier.clock", {DOWN, PURE}),  # reads the clock through another module
    ],
)
def test_a_wrong_import_is_found(checkout: Path, module: str, statement: str, expected: set[str]) -> None:
    path = checkout / "quincepier" / module
    text = path.read_text()
    path.write_text(f"{text}\n{statement}\n")
    try:
        assert broken_contracts(checkout) == expected
    finally:
        path.write_text(text)


def test_the_command_imports_the_laboratory_only_when_it_is_run() -> None:
    code = "import sys, quincepier.__main__; print([m for m in sys.modules if 'quincepier.lab' in m])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout == "[]\n", done.stderr

"""Which test files are of a package of quincepier: those named for it and those that import it themselves.

`--package consensus` (make test PACKAGE=consensus) runs them alone; of a package in another: net.fleet.
"""

from __future__ import annotations

import ast
import functools
import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
SOURCE = TESTS.parent / "quincepier"


def packages() -> set[str]:
    """All of them, modules that stand alone too."""
    folders = (path.parent.relative_to(SOURCE) for path in SOURCE.glob("**/__init__.py"))
    names = {".".join(folder.parts) for folder in folders if folder.parts}
    return names | {path.stem for path in SOURCE.glob("*.py") if path.stem.strip("_") == path.stem}


def imported(file: Path) -> set[str]:
    """What it imports of quincepier."""
    found = set[str]()
    for node in ast.walk(ast.parse(file.read_bytes())):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            found |= {f"{node.module}.{one.name}" for one in node.names}
        elif isinstance(node, ast.Import):
            found |= {one.name for one in node.names}
    return {name.removeprefix("quincepier.") for name in found if name.startswith("quincepier.")}


@functools.cache
def belongs_to(file: Path, package: str) -> bool:
    words = re.split(r"[/_]", str(file.relative_to(TESTS).with_suffix("")))
    return set(package.split(".")) <= set(words) or any(
        f"{name}.".startswith(f"{package}.") for name in imported(file)
    )


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--package", metavar="NAME", help="run the tests of one package of quincepier")


def pytest_configure(config: pytest.Config) -> None:
    package = config.getoption("package")
    if package is not None and package not in packages():
        raise pytest.UsageError(f"--package {package}: no such package; {', '.join(sorted(packages()))}")


def pytest_ignore_collect(collection_path: Path, config: pytest.Config) -> bool | None:
    package = config.getoption("package")
    if package is None or not re.fullmatch(r"test_\w+\.py", collection_path.name):
        return None  # others may say
    return None if belongs_to(collection_path, package) else True

"""A pytest plugin that runs the tests of one package of quincepier.

A test file belongs to a package if it is named after it or imports from it. `--package consensus`
(make test PACKAGE=consensus) runs these files alone; a nested package is written as net.fleet.
"""

from __future__ import annotations

import ast
import functools
import re
from pathlib import Path

import pytest

TESTS = Path(__file__).parent
SOURCE = TESTS.parent / "quincepier"


def package_names() -> set[str]:
    """Dotted names of all packages and of the modules directly below quincepier."""
    folders = (path.parent.relative_to(SOURCE) for path in SOURCE.glob("**/__init__.py"))
    names = {".".join(folder.parts) for folder in folders if folder.parts}
    return names | {path.stem for path in SOURCE.glob("*.py") if path.stem.strip("_") == path.stem}


def imported_modules(file: Path) -> set[str]:
    """Dotted names below quincepier that a file imports."""
    found = set[str]()
    for node in ast.walk(ast.parse(file.read_bytes())):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return {name.removeprefix("quincepier.") for name in found if name.startswith("quincepier.")}


@functools.cache
def belongs_to(file: Path, package: str) -> bool:
    """Whether a test file is named after a package or imports from it."""
    words = re.split(r"[/_]", str(file.relative_to(TESTS).with_suffix("")))
    return set(package.split(".")) <= set(words) or any(
        f"{name}.".startswith(f"{package}.") for name in imported_modules(file)
    )


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--package", metavar="NAME", help="run the tests of one package of quincepier")


def pytest_configure(config: pytest.Config) -> None:
    package = config.getoption("package")
    if package is not None and package not in package_names():
        raise pytest.UsageError(f"--package {package}: no such package; {', '.join(sorted(package_names()))}")


def pytest_ignore_collect(collection_path: Path, config: pytest.Config) -> bool | None:
    package = config.getoption("package")
    if package is None or not re.fullmatch(r"test_\w+\.py", collection_path.name):
        return None  # leaves the decision to other plugins
    return None if belongs_to(collection_path, package) else True

"""`--package` runs the test files that are named after a package or import from it, in any folder."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests import packages
from tests.packages import TESTS, belongs_to, imported_modules
from tests.test_known_red import GOOD, LINE, RED, Suite

ALL_FILES = sorted(TESTS.glob("**/test_*.py"))


@pytest.mark.parametrize(
    "package", sorted(path.parent.name for path in packages.SOURCE.glob("*/__init__.py"))
)
def test_each_folder_has_tests_of_its_own(package: str) -> None:
    found = [file for file in ALL_FILES if belongs_to(file, package)]
    assert found and found != ALL_FILES


def test_a_file_belongs_to_the_packages_in_its_name_and_its_imports(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(packages, "TESTS", tmp_path)
    (tmp_path / "net").mkdir()
    named, importing = tmp_path / "net" / "test_fleet_shell.py", tmp_path / "test_statement.py"
    named.write_text("import quincepier.rules.voters\nfrom quincepier import clock, interface as io\n")
    importing.write_text("def late():\n    from quincepier.net.fleet import node\nfrom tests import state\n")
    assert imported_modules(named) == {"rules.voters", "clock", "interface"} and imported_modules(
        importing
    ) == {"net.fleet.node"}
    assert {p for p in packages.package_names() if belongs_to(named, p)} == {
        "net",
        "net.fleet",
        "rules",
        "clock",
        "interface",
    }
    assert {p for p in packages.package_names() if belongs_to(importing, p)} == {"net", "net.fleet"}


@pytest.mark.parametrize("options", [(), ("-p", "xdist", "-n", "2")], ids=["one process", "side by side"])
def test_only_files_of_the_package_run_and_an_unknown_package_is_reported(
    tmp_path: Path, options: tuple[str, ...]
) -> None:
    suite = Suite(tmp_path, *options)
    for name in ("timers", "net/fleet"):
        (tmp_path / "quincepier" / name).mkdir(parents=True)
        (tmp_path / "quincepier" / name / "__init__.py").touch()
    shutil.copy(Path(packages.__file__), tmp_path / "tests")
    suite.write("conftest", 'pytest_plugins = ["tests.known_red", "tests.packages"]\n')
    suite.write("test_timers", GOOD).write("test_y", f"import quincepier.timers\n{GOOD}").write("test_x", RED)
    suite.list(LINE.replace("test_red", "test_other"))  # not of this package, so it is not looked for
    code, out = suite.run("--package", "timers")
    assert code == 0 and "2 passed" in out, out
    code, out = suite.run("--package", "net.fleet")
    assert code == 5, out
    code, out = suite.run("--package", "timer")
    assert code == 4 and "--package timer: no such package; net.fleet, timers" in out, out

"""What `--package` runs: a package's own tests, whatever their files are called and wherever they lie."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests import packages
from tests.packages import TESTS, belongs_to, imported
from tests.test_known_red import GOOD, LINE, RED, Suite

ALL = sorted(TESTS.glob("**/test_*.py"))


@pytest.mark.parametrize(
    "package", sorted(path.parent.name for path in packages.SOURCE.glob("*/__init__.py"))
)
def test_each_folder_has_tests_of_its_own(package: str) -> None:
    found = [file for file in ALL if belongs_to(file, package)]
    assert found and found != ALL


def test_a_file_is_of_what_it_is_named_for_and_of_what_it_imports(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(packages, "TESTS", tmp_path)
    (tmp_path / "net").mkdir()
    one, other = tmp_path / "net" / "test_fleet_shell.py", tmp_path / "test_statement.py"
    one.write_text("import quincepier.rules.voters\nfrom quincepier import clock, interface as io\n")
    other.write_text("def late():\n    from quincepier.net.fleet import node\nfrom tests import state\n")
    assert imported(one) == {"rules.voters", "clock", "interface"} and imported(other) == {"net.fleet.node"}
    assert {p for p in packages.packages() if belongs_to(one, p)} == {
        "net",
        "net.fleet",
        "rules",
        "clock",
        "interface",
    }
    assert {p for p in packages.packages() if belongs_to(other, p)} == {"net", "net.fleet"}


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
    suite.list(LINE.replace("test_red", "test_other"))  # not of this package, so nobody looks for it
    code, out = suite.run("--package", "timers")
    assert code == 0 and "2 passed" in out, out
    code, out = suite.run("--package", "net.fleet")
    assert code == 5, out
    code, out = suite.run("--package", "timer")
    assert code == 4 and "--package timer: no such package; net.fleet, timers" in out, out

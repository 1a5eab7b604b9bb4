"""The list of tests known to fail excuses those tests alone; checked by whole runs of pytest in a folder."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import NAME, read

PLUGIN_FILE = Path(known_red.__file__)
GOOD = "def test_good(): pass\n"
RED = "def test_red(): raise ValueError('still broken')\n"
SET_UP = """
import pytest
@pytest.fixture
def store(): raise OSError('no store')
def test_store(store): pass
"""
CASES = """
import pytest
@pytest.mark.parametrize('word', ['a', 'b|c'])
def test_case(word): assert word == 'a'
"""
LINE = "tests/test_x.py::test_red | the parser drops a byte | issue 40\n"


class Suite:
    """A project in a folder of its own, with the plugin and a list; each run of pytest gets `options`."""

    def __init__(self, root: Path, *options: str) -> None:
        self.root, self.options = root, options
        (root / "tests").mkdir()
        (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
        self.write("__init__", "").write("conftest", 'pytest_plugins = ["tests.known_red"]\n')
        shutil.copy(PLUGIN_FILE, root / "tests")
        self.list("")

    def write(self, name: str, text: str) -> Suite:
        (self.root / "tests" / f"{name}.py").write_text(text)
        return self

    def list(self, text: str) -> Suite:
        (self.root / NAME).write_text(text)
        return self

    def run(self, *words: str) -> tuple[int, str]:
        """Run pytest; return its exit code, and stdout and stderr."""
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *self.options, *words],
            cwd=self.root,
            env=os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1", "PYTEST_ADDOPTS": ""},
            capture_output=True,
            text=True,
            timeout=60,
        )
        return done.returncode, done.stdout + done.stderr


@pytest.fixture(params=[(), ("-p", "xdist", "-n", "2")], ids=["one process", "side by side"])
def suite(tmp_path: Path, request: pytest.FixtureRequest) -> Suite:
    return Suite(tmp_path, *request.param)


def test_listed_tests_may_fail_and_are_printed(suite: Suite) -> None:
    """They may fail in call, in set-up, or in one case of several; with -x the run continues after them."""
    suite.write("test_x", RED + GOOD).write("test_y", SET_UP).write("test_z", CASES)
    expected = [LINE, "tests/test_y.py::test_store | no store | issue 41\n"]
    expected.append("tests/test_z.py::test_case[b|c] | a bar is cut | issue 7\n")
    suite.list("# three\n\n" + "".join(expected))
    code, out = suite.run("-x")
    assert code == 0, out
    assert "2 passed, 3 xfailed" in out
    for line, error in zip(
        expected, ("ValueError: still broken", "OSError: no store", "Assert"), strict=True
    ):
        assert f"known red: {line.strip()} | {error}" in out


@pytest.mark.parametrize("dist", ["load", "loadgroup"])
def test_a_test_of_a_group_is_known_by_its_own_id(suite: Suite, dist: str) -> None:
    """Also if pytest-xdist appends the group to the id; the same for a test that passes again."""
    words = ("--dist", dist) if suite.options else ()
    group = "import pytest\npytestmark = pytest.mark.xdist_group('@[g]')\n"
    suite.write("test_x", group + RED + GOOD).list(LINE)
    code, out = suite.run(*words)
    assert code == 0 and "1 passed, 1 xfailed" in out, out
    assert f"known red: {LINE.strip()} | ValueError: still broken" in out
    suite.list(LINE.replace("test_red", "test_good"))
    code, out = suite.run(*words)
    assert code == 1 and "2 failed" in out and "passes again: take line 1 out" in out, out


def test_what_is_not_listed_fails_the_run(suite: Suite) -> None:
    """Neither a listed neighbour nor a case of the same test covers it, nor an id without its case."""
    suite.write("test_x", RED + RED.replace("red", "other")).write("test_z", CASES.replace("== 'a'", "== ''"))
    suite.list(LINE + "tests/test_z.py::test_case[a] | empty | issue 7\n")
    code, out = suite.run()
    assert code == 1, out
    assert "2 failed, 2 xfailed" in out
    assert "FAILED tests/test_x.py::test_other" in out and "FAILED tests/test_z.py::test_case[b|c]" in out
    suite.list("tests/test_z.py::test_case | empty | issue 7\n")
    code, out = suite.run()
    assert code == 4, out
    assert f"{NAME}, line 1: no test is collected as tests/test_z.py::test_case: " in out
    code, out = suite.run("tests/test_z.py::test_case[a]")
    assert code == 1 and "1 failed" in out, out


def test_a_listed_test_that_passes_again_fails_the_run(suite: Suite) -> None:
    suite.write("test_x", RED.replace("raise ValueError('still broken')", "pass") + GOOD).list("#\n" + LINE)
    code, out = suite.run()
    assert code == 1, out
    assert "1 failed, 1 passed" in out and f"passes again: take line 2 out of {NAME}" in out


def test_an_intermittent_test_may_pass_or_fail_and_is_printed(suite: Suite) -> None:
    """The line of an intermittent test stays until the fault is mended; other listed tests may not pass."""
    line = LINE.replace("| ", "| at times: ", 1)
    code, out = suite.write("test_x", GOOD + RED).list(line).run()
    assert code == 0 and "1 passed, 1 xfailed" in out and "| at times: " in out
    code, out = suite.write("test_x", GOOD + GOOD.replace("good", "red")).list(line).run()
    assert code == 0 and "2 passed" in out and "did not fail in this run" in out
    other = LINE.replace("test_red", "test_good")
    code, out = suite.list(line + other).run()
    assert code == 1 and f"passes again: take line 2 out of {NAME}" in out


@pytest.mark.parametrize(
    ("body", "why"),
    [
        ("pytest.skip('later')", "skipped, while"),
        ("pytest.xfail('later')", "take the xfail away"),
    ],
)
def test_a_listed_test_that_is_skipped_or_xfailed_fails_the_run(suite: Suite, body: str, why: str) -> None:
    suite.write("test_x", f"import pytest\ndef test_red(): {body}\n").list(LINE)
    code, out = suite.run()
    assert code == 1 and "1 failed" in out and why in out, out


def test_marks_do_not_replace_a_line(suite: Suite) -> None:
    """Tests expected to fail must be listed: an xfail mark fails the run whether the test fails or not."""
    mark = "@pytest.mark.xfail\n"
    suite.write("test_x", "import pytest\n" + mark + RED + mark + GOOD)
    code, out = suite.run()
    assert code == 1 and "2 failed" in out and out.count("take the xfail away") >= 2, out


def test_an_error_in_tear_down_fails_the_run(suite: Suite) -> None:
    """A module's fixture is torn down with the last test of a process: its error concerns all tests."""
    fixture = "@pytest.fixture(scope='module', autouse=True)\ndef shared():\n    yield\n    raise OSError\n"
    suite.write("test_x", "import pytest\n" + fixture + GOOD + RED).list(LINE)
    code, out = suite.run(*(["--dist", "loadfile"] if suite.options else []))
    assert code == 1 and "1 passed, 1 xfailed, 1 error" in out, out


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"tests/test_x.py::test_red\n", "line 1: not test, cause and issue"),
        (b"#\ntests/test_x.py::test_red | a cause\n", "line 2: not test, cause and issue"),
        (b"tests/test_x.py::test_red | | issue 4\n", "line 1: not test, cause and issue"),
        (b"tests/test_x.py::test_red | a cause | \n", "line 1: not test, cause and issue"),
        (b"tests/test_x.py::test_red | a cause | soon\n", "line 1: not test, cause and issue"),
        (b" | a cause | issue 4\n", "line 1: not test, cause and issue"),
        (b"tests/test_x.py | a cause | issue 4\n", "line 1: not test, cause and issue"),
        (b"tests/kit.py::test_red | a cause | issue 4\n", "line 1: not test, cause and issue"),
        (b"tests/../test_x.py::test_red | a cause | issue 4\n", "line 1: not test, cause and issue"),
        (b" # no comment\n", "line 1: not test, cause and issue"),
        (LINE.encode() + b"\n" + LINE.encode(), "line 3: the same test as in line 1"),
        (b"# a\n# \xff\n", "line 2: not UTF-8"),
    ],
)
def test_each_fault_of_the_list_is_reported_with_its_line_and_remedy(data: bytes, expected: str) -> None:
    with pytest.raises(pytest.UsageError) as caught:
        read(data)
    (why,) = caught.value.args
    assert why.startswith(f"{NAME}, {expected}: ") and "\n" not in why


def test_the_number_of_lines_is_not_limited() -> None:
    data = b"".join(b"tests/test_x.py::test_%d | a cause | issue 4\n" % n for n in range(12))
    assert [line.test for line in read(data)] == [f"tests/test_x.py::test_{n}" for n in range(12)]


def test_all_faults_of_a_list_are_reported_at_once() -> None:
    with pytest.raises(pytest.UsageError) as caught:
        read(b"one\n" + LINE.encode() * 2)
    assert [fault.split(":")[0] for fault in caught.value.args[0].split("\n")] == [
        f"{NAME}, line 1",
        f"{NAME}, line 3",
    ]


def test_comments_blank_lines_and_line_ends_are_no_fault() -> None:
    (line,) = read(b"\xef\xbb\xbf# \xc3\xa9\r\n\r\n  \n" + LINE.encode().replace(b"\n", b"\r\n"))
    assert (line.number, line.test, line.cause, line.issue) == (
        4,
        "tests/test_x.py::test_red",
        "the parser drops a byte",
        "issue 40",
    )
    assert read(b"") == []


NO_TEST = f"{NAME}, line 1: no test is collected as tests/"


@pytest.mark.parametrize(
    ("text", "words", "expected"),
    [
        ("tests/test_x.py::test_red\n", "", f"{NAME}, line 1: not test, cause and issue"),
        ("tests/test_x.py::test_red\n", "--co", f"{NAME}, line 1: not test, cause and issue"),
        (LINE.replace("test_x", "test_gone"), "tests/test_x.py", f"{NO_TEST}test_gone.py::test_red"),
        (LINE.replace("red", "gone"), "", f"{NO_TEST}test_x.py::test_gone"),
        (LINE.replace("red", "gone"), "tests/test_x.py", f"{NO_TEST}test_x.py::test_gone"),
        (None, "", f"{NAME}: can't be read (No such file or directory): put it back at the root"),
    ],
)
def test_a_fault_of_the_list_ends_the_run_before_any_test(
    suite: Suite, text: str | None, words: str, expected: str
) -> None:
    suite.write("test_x", "def test_good(): open('ran', 'w').close()\n" + RED)
    if text is None:
        (suite.root / NAME).unlink()
    else:
        suite.list(text)
    code, out = suite.run(*words.split())
    assert code == 4 and expected in out, out
    assert not (suite.root / "ran").exists()


def test_a_syntax_error_in_a_test_file_is_reported(suite: Suite) -> None:
    suite.write("test_x", "def test_red(:\n").list(LINE)
    code, out = suite.run()
    assert code == 4 and "SyntaxError" in out, out


def test_a_partial_run_checks_only_its_own_files(suite: Suite) -> None:
    """A listed file that is not run must exist; a deselected test was collected and is no fault."""
    suite.write("test_x", RED + GOOD).write("test_y", GOOD).list(LINE)
    for words, expected in (
        (("tests/test_y.py",), "1 passed"),
        (("tests/test_x.py::test_good",), "1 passed"),
        (("-k", "good"), "2 passed, 1 deselected"),
        (("--deselect", "tests/test_x.py::test_red"), "2 passed, 1 deselected"),
        (("--ignore", "tests/test_x.py"), "1 passed"),
        (("--co",), "3 tests collected"),
    ):
        code, out = suite.run(*words)
        if suite.options:  # pytest-xdist does not print how many were deselected
            expected = expected.partition(",")[0]
        assert code == 0 and expected in out, out
        assert f"known red: {LINE.strip()} | did not fail in this run" in out
    (suite.root / "tests" / "test_x.py").unlink()
    code, out = suite.run("tests/test_y.py")
    assert code == 4 and "no test is collected as tests/test_x.py::test_red" in out, out


def test_this_project_has_its_list_in_force(request: pytest.FixtureRequest) -> None:
    plugin = request.config.pluginmanager.get_plugin("known red")
    assert plugin is not None
    assert list(plugin.listed.values()) == read((PLUGIN_FILE.parent.parent / NAME).read_bytes())

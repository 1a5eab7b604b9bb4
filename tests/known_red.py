"""A pytest plugin for tests known to fail because of a real fault, which KNOWN-RED.txt at the root lists.

Only listed tests may fail, in set-up or call; they are printed at the end with cause and issue. A listed
test that passes fails the run until its line is removed, except if its cause begins with "at times: ": that
test is printed whether it fails or passes. A listed test that is skipped fails the run. So does an error in
its tear-down, because a fixture that several tests share is torn down with whichever test runs last. An xfail
mark does not replace a line. A fault in the list ends the run before any test: exit code 4, with line and
remedy.

With pytest-xdist each worker process judges the tests that it runs. The controller process reads the list
first, ends the run if a worker reports faults of the list, and prints the results from the workers' reports.
"""

from __future__ import annotations

import re
from collections.abc import Generator, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

NAME = "KNOWN-RED.txt"
INTERMITTENT_PREFIX = "at times: "  # of the cause of a test that fails in some runs only
LISTED_ID = pytest.StashKey[str]()  # the test's id as the list writes it
LINE_FORMAT = "tests/test_x.py::test_name | cause | issue 40"
TEST_PATTERN, ISSUE_PATTERN = re.compile(r"tests/(\w+/)*test_\w+\.py::\S.*"), re.compile(r"issue [1-9][0-9]*")


@dataclass(frozen=True)
class Line:
    """A line of the list; `number` counts all lines of the file from 1."""

    number: int
    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        return self.test.partition("::")[0]

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only, so that a pass does not show that the fault is mended."""
        return self.cause.startswith(INTERMITTENT_PREFIX)


def read(data: bytes) -> list[Line]:
    """Parse the list; raise pytest.UsageError with all its faults."""
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        number = data.count(b"\n", 0, error.start) + 1
        raise pytest.UsageError(f"{NAME}, line {number}: not UTF-8: save it as UTF-8") from None
    line_by_test: dict[str, Line] = {}
    faults = list[str]()
    for number, raw in enumerate(text.split("\n"), 1):
        if not raw.strip() or raw.startswith("#"):
            continue
        fields = [field.strip() for field in raw.rsplit("|", 2)]  # a parameter may hold a |
        if len(fields) < 3 or not (
            TEST_PATTERN.fullmatch(fields[0]) and fields[1] and ISSUE_PATTERN.fullmatch(fields[2])
        ):
            faults.append(f"line {number}: not test, cause and issue: write it as {LINE_FORMAT}")
        elif (first := line_by_test.get(fields[0])) is not None:
            faults.append(f"line {number}: the same test as in line {first.number}: take one of them out")
        else:
            line_by_test[fields[0]] = Line(number, *fields)
    if faults:
        raise pytest.UsageError("\n".join(f"{NAME}, {fault}" for fault in faults))
    return list(line_by_test.values())


class KnownRed:
    """The plugin: applies the list to one run of pytest."""

    def __init__(self, config: pytest.Config) -> None:
        self.config, self.root = config, config.rootpath
        self.listed: dict[str, Line] = {}
        self.failed: dict[str, str] = {}  # error message by listed test

    def pytest_sessionstart(self) -> None:
        try:
            lines = read((self.root / NAME).read_bytes())
        except OSError as error:
            remedy = "put it back at the root, empty where no test is red"
            raise pytest.UsageError(f"{NAME}: can't be read ({error.strerror}): {remedy}") from None
        self.listed = {line.test: line for line in lines}
        self._check_collected(line for line in lines if not (self.root / line.file).is_file())

    @pytest.hookimpl(tryfirst=True)  # before anything is deselected
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        collected = {item.nodeid for item in items}
        for item in items:  # pytest-xdist will append the group of a test to its id
            item.stash[LISTED_ID] = item.nodeid
        self._check_collected(
            line
            for line in self.listed.values()
            if line.test not in collected and self._collects_whole_file(line.file)
        )
        if hasattr(self.config, "workeroutput") and NAME in self.config.workeroutput:
            items.clear()

    def _check_collected(self, missing: Iterable[Line]) -> None:
        """End the run if a listed test is missing."""
        if faults := [
            f"{NAME}, line {line.number}: no test is collected as {line.test}: correct its id (with brackets "
            f"where it has cases, a line each), or take the line out"
            for line in missing
        ]:
            self._end_run("\n".join(faults))

    def _end_run(self, faults: str) -> None:
        """End the run before any test."""
        output: dict[str, Any] | None = getattr(self.config, "workeroutput", None)
        if output is None:
            raise pytest.UsageError(faults)
        output[NAME] = faults  # sent to the controller process, which then ends the run

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        if faults := getattr(node, "workeroutput", {}).get(NAME):
            raise pytest.UsageError(faults)

    def _collects_whole_file(self, file: str) -> bool:
        """Whether this run collects all tests of a file, by the file's own path or by a folder above it."""
        if any(self.config.getoption(name, None) for name in ("ignore", "ignore_glob", "lf", "package")):
            return False
        path, start = (self.root / file).resolve(), self.config.invocation_params.dir
        given = [Path(start, arg) for arg in self.config.args if "::" not in arg]
        return any(path.is_relative_to(argument.resolve()) for argument in given)

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # wraps pytest's own hook, which evaluates marks
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        line = self.listed.get(item.stash[LISTED_ID])
        if hasattr(report, "wasxfail"):
            del report.wasxfail
            self._fail(
                report, f"expected to fail by a mark or call: {NAME} alone says so: take the xfail away"
            )
        elif line is None:
            pass
        elif report.skipped:
            self._fail(
                report, f"skipped, while {NAME}, line {line.number}, says that it fails: take one away"
            )
        elif report.passed and report.when == "call" and not line.is_intermittent:
            self._fail(report, f"passes again: take line {line.number} out of {NAME}")
        elif report.failed and report.when != "teardown" and call.excinfo is not None:
            why = call.excinfo.exconly().partition("\n")[0]
            report.user_properties.append((NAME, [line.test, why]))
            report.outcome, report.wasxfail = "skipped", f"{line.cause} | {line.issue}"
        return report

    def _fail(self, report: pytest.TestReport, why: str) -> None:
        report.outcome, report.longrepr = "failed", why

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        for name, value in report.user_properties:
            if name == NAME and isinstance(value, list):
                test, why = value
                self.failed[test] = why

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter) -> None:
        for line in self.listed.values():
            result = self.failed.get(line.test, "did not fail in this run")
            terminalreporter.write_line(f"known red: {line.test} | {line.cause} | {line.issue} | {result}")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config), "known red")

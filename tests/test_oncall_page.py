"""docs/oncall.md lists every log event and counter of the code and no others; all names have one form."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "oncall.md").read_text()
NAME = re.compile(r"[a-z][a-z0-9_]*")
LISTED = re.compile(r"`([a-z][a-z0-9]*(?:_[a-z0-9]+)+)(?:`|:)")
MADE_AT_RUN_TIME = "[a-z0-9_]+"
Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass(frozen=True)
class Wrapper:
    """A function that passes one of its parameters on as the name of an event."""

    function: str
    parameter: str
    position: int


class Module:
    """Finds names of events and counters in the source of a module."""

    def __init__(self, source: str) -> None:
        self.tree = ast.parse(source)
        self.function_of: dict[ast.AST, Function] = {}
        self.class_of: dict[ast.AST, str] = {}
        self.values: dict[str, list[ast.expr]] = {}
        for node in ast.walk(self.tree):
            if isinstance(node, Function):
                for inner in ast.walk(node):
                    self.function_of[inner] = node
            if isinstance(node, ast.ClassDef):
                self.class_of.update(dict.fromkeys(ast.walk(node), node.name))
            if isinstance(node, ast.Assign):
                self.values.setdefault(ast.unparse(node.targets[0]), []).append(node.value)

    def name_expressions(self) -> Iterator[ast.expr]:
        """First arguments of `checks.event(...)` and `checks.count(...)`, and `event=` of bound log lines."""
        for node in ast.walk(self.tree):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func.value)
            if node.func.attr in ("event", "count", "exception") and owner.endswith("checks") and node.args:
                yield node.args[0]
            elif node.func.attr == "bind" and owner.endswith("logger"):
                yield from (keyword.value for keyword in node.keywords if keyword.arg == "event")

    def wrappers(self, expressions: Iterable[ast.expr]) -> Iterator[Wrapper]:
        """Functions that take the name of an event as a parameter, and classes whose __init__ stores it."""
        for expression in expressions:
            if isinstance(expression, ast.Attribute):  # stored by __init__
                for value in self.values.get(ast.unparse(expression), []):
                    yield from self.wrappers([value])
            function = self.function_of.get(expression)
            if not isinstance(expression, ast.Name) or function is None:
                continue
            parameters = [a.arg for a in function.args.args if a.arg not in ("self", "cls")]
            if expression.id in parameters:
                called = self.class_of[function] if function.name == "__init__" else function.name
                yield Wrapper(called, expression.id, parameters.index(expression.id))

    def wrapper_arguments(self, wrappers: frozenset[Wrapper]) -> Iterator[ast.expr]:
        """The expressions that calls of wrappers pass as the name of an event."""
        for node in ast.walk(self.tree):
            if not isinstance(node, ast.Call):
                continue
            called = node.func.attr if isinstance(node.func, ast.Attribute) else ast.unparse(node.func)
            for wrapper in wrappers:
                if wrapper.function == called:
                    yield from node.args[wrapper.position : wrapper.position + 1]
                    yield from (k.value for k in node.keywords if k.arg == wrapper.parameter)

    def patterns(self, expression: ast.expr) -> Iterator[str]:
        """The names that an expression may evaluate to, as regular expressions."""
        if isinstance(expression, ast.Constant) and isinstance(expression.value, str):
            yield re.escape(expression.value)
        elif isinstance(expression, ast.IfExp):
            yield from self.patterns(expression.body)
            yield from self.patterns(expression.orelse)
        elif isinstance(expression, ast.JoinedStr):
            parts = [p.value if isinstance(p, ast.Constant) else None for p in expression.values]
            yield "".join(MADE_AT_RUN_TIME if part is None else re.escape(str(part)) for part in parts)
        elif isinstance(expression, ast.Name):
            for value in self.values.get(expression.id, []):
                yield from self.patterns(value)


def names_in(*sources: str) -> set[str]:
    modules = [Module(source) for source in sources]
    found = [(module, expression) for module in modules for expression in module.name_expressions()]
    known = frozenset[Wrapper]()
    while (wrappers := frozenset(w for m, e in found for w in m.wrappers([e]))) != known:
        found += [(m, e) for m in modules for e in m.wrapper_arguments(wrappers - known)]
        known = wrappers
    return {pattern for module, expression in found for pattern in module.patterns(expression)}


def invariants_in(*sources: str) -> set[str]:
    """Counters of violated invariants, from the second arguments of `checks.must(...)`."""
    calls = [node for source in sources for node in ast.walk(ast.parse(source)) if isinstance(node, ast.Call)]
    named = [call.args[1] for call in calls if ast.unparse(call.func).endswith("checks.must")]
    return {f"invariant_violated_{ast.literal_eval(name)}" for name in named}


@cache
def names_of_code() -> frozenset[str]:
    files = [p for p in (ROOT / "quincepier").rglob("*.py") if "lab" not in p.relative_to(ROOT).parts]
    sources = [path.read_text() for path in files]
    return frozenset(names_in(*sources) | invariants_in(*sources))


def log_tables(page: str) -> str:
    return page.split("## Codes of errors")[0]


def names_of_page(page: str) -> set[str]:
    """Names in code type in the first column of the tables of log lines and counters."""
    rows = [line.split(" | ")[0] for line in log_tables(page).splitlines() if line.startswith("| ")]
    return {name for row in rows for name in LISTED.findall(row)}


def matches(name: str, pattern: str) -> bool:
    return re.fullmatch(pattern, name) is not None


def unlisted(page: str) -> list[str]:
    """Names in the code that the page does not list; a name made at run time needs a row that matches it."""
    listed = set(re.findall(r"`([a-z][a-z0-9_]*)", log_tables(page)))
    return sorted(name for name in names_of_code() if not any(matches(row, name) for row in listed))


def outdated(page: str) -> list[str]:
    """Names on the page that the code does not have."""
    return sorted(
        row for row in names_of_page(page) if not any(matches(row, name) for name in names_of_code())
    )


def test_every_event_and_counter_has_one_form() -> None:
    names = {name.replace(MADE_AT_RUN_TIME, "x") for name in names_of_code()}
    assert [name for name in sorted(names) if not NAME.fullmatch(name)] == []


def test_the_page_lists_every_event_and_counter_and_none_that_is_gone() -> None:
    assert len(names_of_code()) > 100
    assert unlisted(PAGE) == []
    assert outdated(PAGE) == []


@pytest.mark.parametrize("name", ["accept_failed", "reads_deferred", "change_log_poll_failed"])
def test_a_row_that_is_missing_or_misspelt_is_found(name: str) -> None:
    page = PAGE.replace(name, f"{name}_once")
    assert name in unlisted(page)
    assert f"{name}_once" in outdated(page)


@pytest.mark.parametrize(
    "source",
    [
        'self.checks.event("Bad Name")',
        'logger.bind(event="Bad Name", n=1).info("n")',
        'KIND = "Bad Name"\nchecks.count(KIND)',
        'def defect(checks, kind):\n    checks.event(kind)\ndefect(self.checks, "Bad Name")',
        'self.checks.event("good" if fine else "Bad Name")',
        'class A:\n def __init__(self, k):\n  self.k = k\n def f(self): checks.event(self.k)\nA("Bad Name")',
    ],
)
def test_a_name_is_found_however_it_is_given(source: str) -> None:
    assert re.escape("Bad Name") in names_in(source)

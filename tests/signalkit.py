"""Runs the front with signals at named points: `python -m tests.signalkit POINT=ACTIONS... serve ...`.

A point is `module:name` of a function or method, `import:MODULE`, `exit`, or `teardown` of the interpreter.
When it is reached for the first time, its actions are done: a list of the signals TERM, INT and HUP, and of
SWAP, which replaces the configuration by the file beside it that is named .next.
"""

from __future__ import annotations

import atexit
import importlib
import os
import runpy
import signal
import sys
from collections.abc import Callable
from typing import Any

from quincepier.lifecycle import signals


def send_signals(actions: str) -> None:
    for action in actions.split(","):
        if action == "SWAP":
            os.replace(os.environ["ROUTER_CONFIG"] + ".next", os.environ["ROUTER_CONFIG"])
        else:
            os.kill(os.getpid(), getattr(signal, f"SIG{action}"))


class SignalsAtTeardown:
    """Sends signals as it is deleted with the modules, after the interpreter has reset the handlers."""

    def __init__(self, actions: str) -> None:
        self.numbers = [getattr(signal, f"SIG{action}") for action in actions.split(",")]

    def __del__(self, kill: Callable[[int, int], None] = os.kill, own: int = os.getpid()) -> None:
        for number in self.numbers:
            kill(own, number)


class ImportHook:
    """An import finder that finds no module and calls `reached` on the import of one module."""

    def __init__(self, module: str, reached: Callable[[], None]) -> None:
        self.module, self.reached = module, reached

    def find_spec(self, name: str, path: Any = None, target: Any = None) -> None:
        if name == self.module:
            self.reached()


def install_point(point: str, actions: str) -> None:
    pending = [actions]

    def reached() -> None:
        if pending:
            send_signals(pending.pop())

    kind, _, name = point.partition(":")
    if point == "exit":
        atexit.register(reached)
    elif point == "teardown":
        # kept in `sys`, so that it is deleted at teardown; objects frozen in the garbage collector are not
        vars(sys)["last"] = SignalsAtTeardown(actions)
    elif kind == "import":
        sys.meta_path.insert(0, ImportHook(name, reached))
    else:
        wrap_function(kind, name, reached)


def wrap_function(module: str, name: str, reached: Callable[[], None]) -> None:
    owner: Any = importlib.import_module(module)
    *qualifiers, last = name.split(".")
    for word in qualifiers:
        owner = getattr(owner, word)
    original = getattr(owner, last)

    def wrapped(*args: Any, **kwargs: Any) -> Any:
        reached()
        return original(*args, **kwargs)

    setattr(owner, last, wrapped)


def main(arguments: list[str]) -> None:
    """Install the points right after the front's signal handlers, before any other module is imported."""
    points = list[str]()
    while "=" in arguments[0]:
        points.append(arguments.pop(0))
    original = signals.install_handlers

    def install_handlers(*args: Any) -> None:
        original(*args)
        while points:
            install_point(*points.pop().split("=", 1))

    signals.install_handlers = install_handlers  # type: ignore[assignment]
    sys.argv = ["quincepier", *arguments]
    runpy.run_module("quincepier", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])

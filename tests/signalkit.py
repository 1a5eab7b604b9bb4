"""The front's program with signals at named points: `python -m tests.signalkit POINT=ACTIONS... serve ...`.

A point is `module:name` of a function or method, `import:MODULE`, `exit`, or `teardown` of the interpreter.
As it is first reached the actions are done, a list of TERM, INT, HUP, and SWAP: the file beside the
configuration, named .next, takes its place.
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


def act(actions: str) -> None:
    for action in actions.split(","):
        if action == "SWAP":
            os.replace(os.environ["ROUTER_CONFIG"] + ".next", os.environ["ROUTER_CONFIG"])
        else:
            os.kill(os.getpid(), getattr(signal, f"SIG{action}"))


class Last:
    """Deleted with the modules: by then the interpreter has put handlers back to the default."""

    def __init__(self, actions: str) -> None:
        self.numbers = [getattr(signal, f"SIG{action}") for action in actions.split(",")]

    def __del__(self, kill: Callable[[int, int], None] = os.kill, own: int = os.getpid()) -> None:
        for number in self.numbers:
            kill(own, number)


class Importing:
    """A finder that finds nothing, and acts as the module is asked for."""

    def __init__(self, module: str, reached: Callable[[], None]) -> None:
        self.module, self.reached = module, reached

    def find_spec(self, name: str, path: Any = None, target: Any = None) -> None:
        if name == self.module:
            self.reached()


def at(point: str, actions: str) -> None:
    undone = [actions]

    def reached() -> None:
        if undone:
            act(undone.pop())

    kind, _, name = point.partition(":")
    if point == "exit":
        atexit.register(reached)
    elif point == "teardown":
        vars(sys)["last"] = Last(actions)  # deleted for certain: what is frozen in the collector is not
    elif kind == "import":
        sys.meta_path.insert(0, Importing(name, reached))
    else:
        wrap(kind, name, reached)


def wrap(module: str, name: str, reached: Callable[[], None]) -> None:
    owner: Any = importlib.import_module(module)
    *way, last = name.split(".")
    for word in way:
        owner = getattr(owner, word)
    plain = getattr(owner, last)

    def wrapped(*args: Any, **kwargs: Any) -> Any:
        reached()
        return plain(*args, **kwargs)

    setattr(owner, last, wrapped)


def main(asked: list[str]) -> None:
    """The points are set as soon as the front's program has its handlers: nothing is imported before."""
    points = list[str]()
    while "=" in asked[0]:
        points.append(asked.pop(0))
    plain = signals.install_handlers

    def install_handlers(*args: Any) -> None:
        plain(*args)
        while points:
            at(*points.pop().split("=", 1))

    signals.install_handlers = install_handlers  # type: ignore[assignment]
    sys.argv = ["quincepier", *asked]
    runpy.run_module("quincepier", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv[1:])

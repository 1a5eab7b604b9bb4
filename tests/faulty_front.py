"""A front process whose system calls fail and whose wall clock is stepped.

`python -m tests.faulty_front PLAN serve --config FILE`: PLAN is the JSON text of `Plan` below. Failures are
drawn from its seed; the code of the front is not changed, except by a `mutant`.
"""

from __future__ import annotations

import errno
import random
import signal
import socket
import sys
import time
from types import FrameType
from typing import Any, Literal

import msgspec

from quincepier import __main__
from quincepier.lifecycle import signals
from tests.mutants import FAULTS

SHORT = "SHORT"  # instead of an error, only one byte is read or written
PERMANENT_ERRORS = frozenset(
    ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE")
)  # a socket does not recover from these
Call = Literal[
    "accept", "socket", "connect", "client.recv", "client.send", "server.recv", "server.send",
    "setsockopt", "shutdown", "getpeername",
]  # fmt: skip


class Rule(msgspec.Struct, frozen=True):
    """A call fails with one of these errors, with probability `chance`.

    It fails from `begin` to `end` seconds after the start of the process, or after SIGTERM.
    """

    call: Call
    errors: tuple[str, ...]
    chance: float = 1.0
    begin: float = 0.0
    end: float = 1e9
    since: Literal["start", "term"] = "start"


class Step(msgspec.Struct, frozen=True):
    """The wall clock is stepped by `seconds`, `at` seconds after the start."""

    at: float
    seconds: float


class Plan(msgspec.Struct, frozen=True):
    """The faults of one process."""

    seed: int = 1
    rules: tuple[Rule, ...] = ()
    steps: tuple[Step, ...] = ()
    mutant: str = ""  # a defect of tests/mutants.py

    def text(self) -> str:
        return msgspec.json.encode(self).decode()


class Faults:
    """Draws the failures of calls and computes the offset of the wall clock."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.chance = plan, random.Random(plan.seed)
        self.since = {"start": time.monotonic(), "term": float("inf")}

    def draw_error(self, call: str) -> str | None:
        """Return the name of an error, SHORT, or None."""
        now = time.monotonic()
        for rule in self.plan.rules:
            spent = now - self.since[rule.since]
            if rule.call == call and rule.begin <= spent < rule.end and self.chance.random() < rule.chance:
                return self.chance.choice(rule.errors)
        return None

    def raise_or_shorten(self, call: str) -> bool:
        """Raise OSError if an error is drawn; return whether the call should be short."""
        error = self.draw_error(call)
        if error is None or error == SHORT:
            return error == SHORT
        number = getattr(errno, error)
        raise OSError(number, f"{error}, as drawn")

    def on_signal(self, number: int, frame: FrameType | None) -> None:
        if number in signals.ENDING:
            self.since["term"] = min(self.since["term"], time.monotonic())
        original_handler(number, frame)

    def clock_offset_ns(self) -> int:
        spent = time.monotonic() - self.since["start"]
        return sum(int(step.seconds * 1e9) for step in self.plan.steps if step.at <= spent)


original_handler = signals._came


def install(plan: Plan) -> Faults:
    """Replace the sockets and the wall clock of this process by faulty ones."""
    faults, plain = Faults(plan), socket.socket

    class FaultySocket(plain):  # type: ignore[misc, valid-type]
        """A socket with faults; its side is `client` if it was accepted, else `server`."""

        def __init__(
            self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None:
                faults.raise_or_shorten("socket")
            self.side = "server" if fileno is None else "client"
            self.broken: OSError | None = None
            super().__init__(family, type, proto, fileno)

        def _fails(self, call: str) -> bool:
            if self.broken is not None:
                raise self.broken
            try:
                return faults.raise_or_shorten(call)
            except OSError as error:
                if errno.errorcode.get(error.errno or 0) in PERMANENT_ERRORS:
                    self.broken = error
                raise

        def accept(self) -> Any:
            faults.raise_or_shorten("accept")
            return super().accept()

        def connect(self, address: Any) -> None:
            faults.raise_or_shorten("connect")
            super().connect(address)

        def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
            if self._fails(f"{self.side}.recv"):
                return int(super().recv_into(buffer, 1, flags))
            return int(super().recv_into(buffer, nbytes, flags))

        def send(self, data: Any, flags: int = 0) -> int:
            if self._fails(f"{self.side}.send"):
                return int(super().send(memoryview(data)[:1], flags))
            return int(super().send(data, flags))

        def setsockopt(self, *args: Any) -> None:
            faults.raise_or_shorten("setsockopt")
            super().setsockopt(*args)

        def shutdown(self, how: int) -> None:
            faults.raise_or_shorten("shutdown")
            super().shutdown(how)

        def getpeername(self) -> Any:
            faults.raise_or_shorten("getpeername")
            return super().getpeername()

    socket.socket = FaultySocket  # type: ignore[misc]
    wall, seconds = time.time_ns, time.time
    time.time_ns = lambda: wall() + faults.clock_offset_ns()
    time.time = lambda: seconds() + faults.clock_offset_ns() / 1e9
    signals._came = faults.on_signal
    return faults


def main() -> int:
    plan = msgspec.json.decode(sys.argv[1], type=Plan)
    install(plan)
    if plan.mutant:
        FAULTS[plan.mutant]()
    return __main__.main(sys.argv[2:])


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the front installs its handlers
    sys.exit(main())

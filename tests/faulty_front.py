"""A front whose system calls fail and whose wall clock is stepped, as a process.

`python -m tests.faulty_front PLAN serve --config FILE`: PLAN is a JSON text of the struct below. What fails
is drawn from its seed; nothing of the front itself is changed.
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

SHORT = "SHORT"  # in place of an error: one byte is read or written
BROKEN = frozenset(("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE"))  # of these a socket does not recover
Call = Literal[
    "accept", "socket", "connect", "client.recv", "client.send", "server.recv", "server.send",
    "setsockopt", "shutdown", "getpeername",
]  # fmt: skip


class Rule(msgspec.Struct, frozen=True):
    """A call fails with one of these errors, from `begin` to `end` seconds after the start or SIGTERM."""

    call: Call
    errors: tuple[str, ...]
    chance: float = 1.0
    begin: float = 0.0
    end: float = 1e9
    since: Literal["start", "term"] = "start"


class Step(msgspec.Struct, frozen=True):
    """The wall clock is stepped by so many seconds, so long after the start."""

    at: float
    seconds: float


class Plan(msgspec.Struct, frozen=True):
    seed: int = 1
    rules: tuple[Rule, ...] = ()
    steps: tuple[Step, ...] = ()
    mutant: str = ""  # of tests/mutants.py

    def text(self) -> str:
        return msgspec.json.encode(self).decode()


class Faults:
    """Which call fails now."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.chance = plan, random.Random(plan.seed)
        self.since = {"start": time.monotonic(), "term": float("inf")}

    def drawn(self, call: str) -> str | None:
        """The name of an error, SHORT, or None."""
        now = time.monotonic()
        for rule in self.plan.rules:
            spent = now - self.since[rule.since]
            if rule.call == call and rule.begin <= spent < rule.end and self.chance.random() < rule.chance:
                return self.chance.choice(rule.errors)
        return None

    def may_fail(self, call: str) -> bool:
        """OSError as drawn; whether the call is to be short."""
        error = self.drawn(call)
        if error is None or error == SHORT:
            return error == SHORT
        number = getattr(errno, error)
        raise OSError(number, f"{error}, as drawn")

    def on_signal(self, number: int, frame: FrameType | None) -> None:
        if number in signals.STOP_SIGNALS:
            self.since["term"] = min(self.since["term"], time.monotonic())
        _on_signal(number, frame)

    def stepped(self) -> int:
        spent = time.monotonic() - self.since["start"]
        return sum(int(step.seconds * 1e9) for step in self.plan.steps if step.at <= spent)


_on_signal = signals._on_signal


def install(plan: Plan) -> Faults:
    """From here on sockets of this process fail as planned."""
    faults, plain = Faults(plan), socket.socket

    class FaultySocket(plain):  # type: ignore[misc, valid-type]
        """Sides: `client` where it was accepted, else `server`."""

        def __init__(
            self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None:
                faults.may_fail("socket")
            self.side = "server" if fileno is None else "client"
            self.broken: OSError | None = None
            super().__init__(family, type, proto, fileno)

        def _fails(self, call: str) -> bool:
            if self.broken is not None:
                raise self.broken
            try:
                return faults.may_fail(call)
            except OSError as error:
                if errno.errorcode.get(error.errno or 0) in BROKEN:
                    self.broken = error
                raise

        def accept(self) -> Any:
            faults.may_fail("accept")
            return super().accept()

        def connect(self, address: Any) -> None:
            faults.may_fail("connect")
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
            faults.may_fail("setsockopt")
            super().setsockopt(*args)

        def shutdown(self, how: int) -> None:
            faults.may_fail("shutdown")
            super().shutdown(how)

        def getpeername(self) -> Any:
            faults.may_fail("getpeername")
            return super().getpeername()

    socket.socket = FaultySocket  # type: ignore[misc]
    wall, seconds = time.time_ns, time.time
    time.time_ns = lambda: wall() + faults.stepped()
    time.time = lambda: seconds() + faults.stepped() / 1e9
    signals._on_signal = faults.on_signal
    return faults


def main() -> int:
    plan = msgspec.json.decode(sys.argv[1], type=Plan)
    install(plan)
    if plan.mutant:
        FAULTS[plan.mutant]()
    return __main__.main(sys.argv[2:])


if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the front has handlers of its own
    sys.exit(main())

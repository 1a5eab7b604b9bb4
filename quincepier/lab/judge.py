"""The judge: the five rules, checked from the machines' and the clients' side. Shares no code with the front.

It hears what each machine took and each client got, and when each front was told of what; a broken rule names
the request and keeps its timeline.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from quincepier.lab.experiment import MS, SECOND

DRAIN_GRACE, PURGE_GRACE, LATER = 2 * SECOND, 500 * MS, 50 * MS
LEFT_SLACK, WAIT_SLACK = 100 * MS, 150 * MS  # of what begins: after its client left; told to a server
KEPT_MOST = 40  # broken rules kept with their timeline; more are counted


@dataclass(slots=True)
class Broken:
    rule: str
    request: int
    why: str
    timeline: tuple[str, ...]


@dataclass(slots=True)
class Trace:
    """What is known of one request."""

    front: int
    effect: str
    due: int
    lines: list[str] = field(default_factory=list)
    answers: int = 0
    runs: int = 0  # effects that took place
    abandoned: bool = False  # its front was killed: no longer that front's duty
    left: int = 0  # when its client closed or cancelled it; 0: it has not


class Judge:
    """`late`: so long past its time an answer only earns nothing; later it is lost, ns."""

    def __init__(self, late: int = LATER) -> None:
        self.late = late
        self.traces: dict[int, Trace] = {}
        self.leaving: dict[tuple[int, int], int] = {}  # (front, machine): when it was told
        self.purges: dict[int, list[tuple[int, dict[int, int]]]] = defaultdict(list)  # by group; see purged
        self.broken: list[Broken] = []
        self.count = 0
        self.accused: dict[str, set[int]] = defaultdict(set)  # fronts by the rule they broke; -1: not known
        self.checked: dict[str, int] = defaultdict(int)  # how often each rule was looked at

    def _break(self, rule: str, request: int, why: str, front: int = -1) -> None:
        self.count += 1
        self.accused[rule].add(self.traces[request].front if request in self.traces else front)
        if len(self.broken) < KEPT_MOST:
            trace = self.traces.get(request)
            self.broken.append(Broken(rule, request, why, tuple(trace.lines) if trace else ()))

    def _note(self, now: int, request: int, text: str) -> None:
        trace = self.traces.get(request)
        if trace is not None and len(trace.lines) < 100:
            trace.lines.append(f"{now / SECOND:.6f} {text}")

    # What is told

    def asked(self, now: int, request: int, front: int, effect: str, due: int) -> None:
        self.traces[request] = Trace(front, effect, due)
        self._note(now, request, f"front {front} takes it ({effect}), due {due / SECOND:.6f}")

    def told_leaving(self, now: int, front: int, machine: int) -> None:
        self.leaving.setdefault((front, machine), now)

    def told_back(self, front: int, machine: int) -> None:
        self.leaving.pop((front, machine), None)

    def purged(self, now: int, group: int, told: dict[int, int]) -> None:
        """`told`: by front, when it hears of it."""
        self.purges[group].append((now, told))

    def abandoned(self, request: int) -> None:
        """Its front was killed with it open, or its client gave it up: no answer is owed."""
        if request in self.traces:
            self.traces[request].abandoned = True

    def client_left(self, now: int, request: int) -> None:
        """Its client has closed or cancelled it: no answer is owed, and nothing begins for it."""
        trace = self.traces.get(request)
        if trace is not None:
            trace.left, trace.abandoned = trace.left or now, True
            self._note(now, request, "its client leaves")

    # What is seen

    def began(self, now: int, request: int, wait: int, slack: int) -> None:
        """Rule one: nothing begins for who has left, nor with more time than its client has.

        `slack`: time in which the rig itself stood still since, ns.
        """
        trace = self.traces.get(request)
        if trace is None:
            return
        self.checked["begin"] += 1
        if trace.left and now - trace.left > LEFT_SLACK + LATER + slack:
            self._break("begin", request, f"begins {(now - trace.left) / SECOND:.3f} s after its client left")
        over = wait - (trace.due - now)
        if over > WAIT_SLACK + LATER + slack:
            self._break("begin", request, f"a server is told {over / SECOND:.3f} s more than is left")

    def sent(self, now: int, request: int, front: int, machine: int, source: int | None) -> None:
        """Rule three: nothing new for a machine past the grace, nor with it as the source."""
        self._note(now, request, f"to {machine}" + (f" by way of {source}" if source is not None else ""))
        self.checked["drain"] += 1
        for one in filter(None, (machine, source)):
            told = self.leaving.get((front, one))
            if told is not None and now - told > DRAIN_GRACE + LATER:
                late = (now - told) / SECOND
                self._break("drain", request, f"sent to {one} {late:.3f} s after it was told")

    def ran(self, now: int, request: int, machine: int) -> None:
        """Rule two: an effect takes place once at most."""
        trace = self.traces.get(request)
        self._note(now, request, f"runs at {machine}")
        if trace is not None:
            trace.runs += 1
            self.checked["effect"] += 1
            if trace.effect == "unsafe" and trace.runs > 1:
                self._break("effect", request, f"an unsafe request ran {trace.runs} times")

    def answered(
        self, now: int, request: int, status: str, minted: int | None, sent: int, group: int
    ) -> None:
        """Rule one, and rule five by the copy that was passed on."""
        trace = self.traces.get(request)
        self._note(now, request, f"answered {status}")
        if trace is None:
            self._break("answer", request, "an answer to what was never asked")
            return
        trace.answers += 1
        self.checked["answer"] += 1
        if trace.answers > 1:
            self._break("answer", request, "a second final answer")
        if now > trace.due + self.late and not trace.abandoned:
            self._break("answer", request, f"answered {(now - trace.due) / SECOND:.3f} s past its time")
        if status == "refused" and trace.effect == "unsafe" and trace.runs:
            self._break("effect", request, "refused, though it ran")
        if minted is not None:
            self.checked["purge"] += 1
            for at, told in self.purges.get(group, ()):
                heard = told.get(trace.front)
                if heard is not None and sent > heard + PURGE_GRACE + LATER and minted < at:
                    older = (at - minted) / SECOND
                    self._break("purge", request, f"a copy from {older:.3f} s before the purge")

    def fell(self, now: int, machine: int, by: int) -> None:
        """Rule four: a cold machine was pushed over."""
        self._break("cold", by, f"machine {machine} fell over at {now / SECOND:.3f}")

    def accuse(self, rule: str, request: int, why: str, front: int = -1) -> None:
        """Of what only processes show: who heard it worked out that the rule is broken."""
        self._break(rule, request, why, front)

    def looked_cold(self) -> None:
        self.checked["cold"] += 1

    def end(self, now: int) -> None:
        """Rule one: what was due by now has its answer."""
        for request, trace in self.traces.items():
            if not trace.answers and not trace.abandoned and trace.due + self.late < now:
                self._break("answer", request, "never answered")

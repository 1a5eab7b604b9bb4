"""Machines set aside and tried again: never one that is only slow, never the origin, never for good."""

from collections import Counter
from collections.abc import Iterable

from quincepier import interface as io
from quincepier.interface import AttemptOutcome as Ending
from quincepier.interface import CacheStatus as Note
from quincepier.policy.cold import Cold
from quincepier.policy.parts import SECOND, Attempt, Node

SUSPECT_FOR, SUSPECT_MOST = SECOND, 8 * SECOND  # wait before a trial, doubled at each failure
LOST_LEAST = 4  # attempts broken off in a row that make a loss, or not come up while it answered no other
SILENT_LEAST, LOGS_MOST = 2, 40  # overdue attempts: one may be a large object; log lines of one run


class Trust(Cold):
    def believe(self, attempt: Attempt, e: io.AttemptCompleted, from_cache: bool) -> None:
        node, source, answered = attempt.node, attempt.source, attempt.node.heard > attempt.at  # another
        if e.ending in (Ending.CONNECT_FAILED, Ending.RESET) and not e.another_way:
            self.distrust(node, "lost", 1 if e.ending is Ending.RESET or answered else LOST_LEAST)
        elif e.ending in (Ending.OK, Ending.ERROR, Ending.OVERLOADED, Ending.MISS):
            self.trust(node)
        if source is not None:
            if e.note in (Note.SOURCE_BROKEN, Note.SOURCE_REFUSED):  # a dead process refuses, a full one too
                self.distrust(source, "broken as source", LOST_LEAST / (1 + (e.note == Note.SOURCE_REFUSED)))
            elif attempt.held and e.ending is Ending.OVERLOADED and e.note is Note.NONE:
                if source.denied is not node:  # one cache by itself may have no place for a fill
                    self.distrust(source, "gives nothing", LOST_LEAST / 2)  # asked for what it holds alone
                source.denied = node
            elif e.ending is (Ending.MISS if attempt.held else Ending.OK) and not from_cache:
                self.trust(source)
            source.credit += attempt.work * (from_cache and attempt.at > source.drawn)  # it was not asked

    def trust(self, node: Node) -> None:
        node.heard, node.failed, node.denied = self.now, 0, None
        if node.suspect:  # where a trial failed it was away and starts anew, told or not
            node.suspect, node.cold_at = False, self.now if node.wait > 2 * SUSPECT_FOR else node.cold_at
            self.log(f"machine {node.machine.cache} answers again")

    def distrust(self, node: Node, why: str, points: float = LOST_LEAST) -> None:
        node.failed += points
        if node.failed < LOST_LEAST or node.machine.kind == self.s.origin_kind:
            return  # of the origin there is one
        if not node.suspect:
            self.log(f"machine {node.machine.cache} set aside: {why}")
            self.doubt(node, SUSPECT_FOR)
        self.rescue(node)

    def doubt(self, node: Node, first: int = 0) -> None:  # one request tries it after `first`
        node.suspect, node.wait, node.trial_at = True, SUSPECT_FOR, self.now + first

    def tried(self, node: Node) -> None:
        node.wait = min(2 * node.wait, SUSPECT_MOST)  # the next trial waits twice as long
        node.trial_at = self.now + node.wait

    def rescue(self, node: Node) -> None:  # its slots come back; what is harmless goes elsewhere
        for a in node.out.values():
            self.fills, a.fill = self.fills - a.fill, False
        self.call_off(a for a in list(node.out.values()) if a.req.cls.effect is io.Idempotency.SAFE)

    def call_off(self, attempts: Iterable[Attempt]) -> None:
        for a in attempts:
            if self.s.cancel and not a.req.begun:
                self.out.append(io.CancelAttempt(a.req.e.request, a.no))

    def silences(self) -> None:
        late, slow = Counter[Node](), self.fetch.times(self.now)
        for a in self.attempts.values():  # the oldest first
            if a.at > self.now - SECOND:
                break
            # while all fills are slow, one that is as slow says nothing against its source
            if a.at <= self.now - self.aim(a.req) * (slow if a.fill else 1) and not a.req.begun:
                silent = a.node if a.node.heard <= a.at else a.source if a.fill else None  # one, not both
                if silent is not None and silent.heard <= a.at:
                    late[silent] += 1
        for node in (n for n, count in late.items() if count >= SILENT_LEAST or n.suspect):
            self.distrust(node, "silent")

    def log(self, text: str) -> None:
        self.out += [io.WriteLog(text)] * (self.logs < LOGS_MOST)
        self.logs += 1

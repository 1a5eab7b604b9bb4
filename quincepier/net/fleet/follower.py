"""A front as a follower: it reports to whoever leads, finds that one, and holds what it is granted. Pure.

Times in nanoseconds of `clock.boot`, words in, words out.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from quincepier.net.fleet.messages import LeaseGranted, NotLeader, ReportMessage, VersionCommitted
from quincepier.rules import (
    FrontReport,
    LeaseHolder,
    LeaseRequest,
    LeaseTimings,
    RulesError,
    RuleVersion,
    decode,
)

MS = 1_000_000
UNHEARD_MOST = 2  # reports in a row without an answer; then another voter is asked
TURNED_REST = 40 * MS  # between a voter's word of where to ask and asking there
SOON = 20 * MS  # after adopting, until that is reported


class Follower:
    def __init__(
        self, name: str, voters: tuple[str, ...], start: int, now: int, pace: LeaseTimings, seed: int
    ) -> None:
        self.name, self.voters, self.start, self.pace = name, voters, start, pace
        self.random = random.Random(f"{seed} follower")
        self.holder = LeaseHolder(start, now, pace)
        self.asks = self.random.choice(voters)  # whom it asks
        self.unheard, self.turned, self.rested = 0, 0, now
        self.granted_once = False  # a lease was had since the start
        self.digest, self.digest_of = "", -1
        self.told_leader = ""  # who answered with a grant last

    @property
    def version(self) -> RuleVersion:
        return self.holder.version

    def digest_now(self) -> str:
        """Of the version held, worked out once."""
        if self.digest_of != self.version.number:
            self.digest, self.digest_of = self.version.digest, self.version.number
        return self.digest

    @property
    def wake(self) -> int:
        return self.holder.next

    def cautious(self, now: int) -> bool:
        return self.holder.cautious(now)

    def due(self, now: int, report: Callable[[], FrontReport]) -> tuple[str, ReportMessage] | None:
        """Whom to tell what, if it is time. `now` is read before."""
        if now < self.holder.next:
            return None
        if self.unheard >= UNHEARD_MOST:
            self.turn_to(self._other())
        self.unheard += 1
        token = self.holder.ask(now)
        return self.asks, ReportMessage(LeaseRequest(token, report()))

    def _other(self) -> str:
        others = [name for name in self.voters if name != self.asks]
        return self.random.choice(others) if others else self.asks

    def turn_to(self, voter: str) -> None:
        if voter != self.asks:
            self.asks, self.unheard = voter, 0

    def heard(self, now: int, sender: str, word: LeaseGranted | NotLeader | VersionCommitted) -> bool:
        """Whether a newer version was adopted. RulesError for a spoilt one, or two of one number."""
        match word:
            case VersionCommitted(_, raw):
                if sender in self.voters and self.holder.adopt(decode(raw)):
                    self.soon(now)
                    return True
            case LeaseGranted(_, grant, raw) if sender in self.voters:
                version = decode(raw) if raw else None
                if version is not None and version.number != grant.number:
                    raise RulesError("a grant comes with another version than it names")
                adopted = self.holder.granted(now, grant, version)
                if grant.start == self.start:
                    self.unheard, self.told_leader = 0, sender
                    self.turn_to(sender)
                    self.granted_once = self.granted_once or not self.holder.cautious(now)
                if adopted:
                    self.soon(now)
                return adopted
            case NotLeader(_, leader):
                self._turned(now, sender, leader)
        return False

    def soon(self, now: int) -> None:
        """What was adopted is reported at once, so that it comes into force."""
        self.holder.next = min(self.holder.next, now + SOON)

    def _turned(self, now: int, sender: str, leader: str) -> None:
        if sender != self.asks:
            return
        self.unheard = 0
        if leader in self.voters and leader != sender:
            self.turn_to(leader)
            if now >= self.rested:  # two voters that name each other make no storm
                self.rested = now + 4 * TURNED_REST
                self.holder.next = min(self.holder.next, now + TURNED_REST)
        else:
            self.turn_to(self._other())

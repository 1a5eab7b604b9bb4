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
    decode_version,
)

MS = 1_000_000
MAX_UNANSWERED_REPORTS = 2  # reports in a row without an answer; then another voter is asked
REDIRECT_DELAY_NS = 40 * MS  # between a voter's word of where to ask and asking there
REPORT_AFTER_ADOPTION_NS = 20 * MS  # after adopting, until that is reported


class Follower:
    def __init__(
        self, name: str, voters: tuple[str, ...], start: int, now: int, pace: LeaseTimings, seed: int
    ) -> None:
        self.name, self.voters, self.incarnation, self.timings = name, voters, start, pace
        self.random = random.Random(f"{seed} follower")
        self.lease = LeaseHolder(start, now, pace)
        self.target = self.random.choice(voters)  # whom it asks
        self.unanswered_reports, self.turned, self.next_redirect_ns = 0, 0, now
        self.has_held_lease = False  # a lease was had since the start
        self.digest, self.digest_of = "", -1
        self.known_leader = ""  # who answered with a grant last

    @property
    def version(self) -> RuleVersion:
        return self.lease.version

    def version_digest(self) -> str:
        """Of the version held, worked out once."""
        if self.digest_of != self.version.number:
            self.digest, self.digest_of = self.version.digest, self.version.number
        return self.digest

    @property
    def next_report_ns(self) -> int:
        return self.lease.next_request_ns

    def is_cautious(self, now: int) -> bool:
        return self.lease.is_cautious(now)

    def on_tick(self, now: int, report: Callable[[], FrontReport]) -> tuple[str, ReportMessage] | None:
        """Whom to tell what, if it is time. `now` is read before."""
        if now < self.lease.next_request_ns:
            return None
        if self.unanswered_reports >= MAX_UNANSWERED_REPORTS:
            self.switch_target(self._other())
        self.unanswered_reports += 1
        token = self.lease.begin_request(now)
        return self.target, ReportMessage(LeaseRequest(token, report()))

    def _other(self) -> str:
        others = [name for name in self.voters if name != self.target]
        return self.random.choice(others) if others else self.target

    def switch_target(self, voter: str) -> None:
        if voter != self.target:
            self.target, self.unanswered_reports = voter, 0

    def on_message(self, now: int, sender: str, word: LeaseGranted | NotLeader | VersionCommitted) -> bool:
        """Whether a newer version was adopted. RulesError for a spoilt one, or two of one number."""
        match word:
            case VersionCommitted(_, raw):
                if sender in self.voters and self.lease.adopt(decode_version(raw)):
                    self.report_soon(now)
                    return True
            case LeaseGranted(_, grant, raw) if sender in self.voters:
                version = decode_version(raw) if raw else None
                if version is not None and version.number != grant.version_number:
                    raise RulesError("a grant comes with another version than it names")
                adopted = self.lease.on_grant(now, grant, version)
                if grant.incarnation == self.incarnation:
                    self.unanswered_reports, self.known_leader = 0, sender
                    self.switch_target(sender)
                    self.has_held_lease = self.has_held_lease or not self.lease.is_cautious(now)
                if adopted:
                    self.report_soon(now)
                return adopted
            case NotLeader(_, leader):
                self._on_not_leader(now, sender, leader)
        return False

    def report_soon(self, now: int) -> None:
        """What was adopted is reported at once, so that it comes into force."""
        self.lease.next_request_ns = min(self.lease.next_request_ns, now + REPORT_AFTER_ADOPTION_NS)

    def _on_not_leader(self, now: int, sender: str, leader: str) -> None:
        if sender != self.target:
            return
        self.unanswered_reports = 0
        if leader in self.voters and leader != sender:
            self.switch_target(leader)
            if now >= self.next_redirect_ns:  # two voters that name each other make no storm
                self.next_redirect_ns = now + 4 * REDIRECT_DELAY_NS
                self.lease.next_request_ns = min(self.lease.next_request_ns, now + REDIRECT_DELAY_NS)
        else:
            self.switch_target(self._other())

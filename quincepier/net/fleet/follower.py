"""A front as a follower: it reports to the leader, discovers which voter leads, and holds its lease. No I/O.

Times are in nanoseconds of `clock.boot`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

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

NS_PER_MS = 1_000_000
MAX_UNANSWERED_REPORTS = 2  # consecutive; after them the follower tries another voter
REDIRECT_DELAY_NS = 40 * NS_PER_MS  # from a redirection to another voter until the report to that voter
MIN_REDIRECT_INTERVAL_NS = 4 * REDIRECT_DELAY_NS  # limits reports if two voters redirect to each other
ADOPTION_REPORT_DELAY_NS = 20 * NS_PER_MS  # from adopting a version until it is reported


@dataclass(slots=True, frozen=True)
class OutgoingReport:
    """A report and the voter to send it to."""

    to: str
    message: ReportMessage


class Follower:
    """Keeps the lease of one front.

    Args:
        name: The front's name.
        voters: Names of the voters.
        incarnation: The front's incarnation; higher at each start.
        now_ns: The current time.
        timings: Timing of leases.
        seed: Seed of the random choice of a voter.

    Attributes:
        name: The front's name.
        incarnation: The front's incarnation.
        lease: The front's side of the lease.
        target: The voter that receives the reports.
        has_held_lease: Whether the front has ever held a lease.
        known_leader: The voter that sent the last grant; "" before the first grant.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        incarnation: int,
        now_ns: int,
        timings: LeaseTimings,
        seed: int,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.lease = LeaseHolder(incarnation, now_ns, timings)
        self._voters = voters
        self._random = random.Random(f"{seed} follower")
        self.target = self._random.choice(voters)
        self.has_held_lease = False
        self.known_leader = ""
        self._unanswered_reports = 0
        self._next_redirect_ns = now_ns
        self._digest = ""
        self._digest_number = -1

    @property
    def version(self) -> RuleVersion:
        """The version that this front has adopted."""
        return self.lease.version

    def version_digest(self) -> str:
        """Return the digest of the adopted version; it is computed once per version number."""
        if self._digest_number != self.version.number:
            self._digest = self.version.digest
            self._digest_number = self.version.number
        return self._digest

    @property
    def next_report_ns(self) -> int:
        """When the next report is due."""
        return self.lease.next_request_ns

    def is_cautious(self, now_ns: int) -> bool:
        """Whether the front holds no lease."""
        return self.lease.is_cautious(now_ns)

    def on_tick(self, now_ns: int, make_report: Callable[[], FrontReport]) -> OutgoingReport | None:
        """Return the report that is due, or None; `now_ns` must be read before the report is made."""
        if now_ns < self.lease.next_request_ns:
            return None
        if self._unanswered_reports >= MAX_UNANSWERED_REPORTS:
            self._switch_target(self._choose_other_voter())
        self._unanswered_reports += 1
        token = self.lease.begin_request(now_ns)
        return OutgoingReport(self.target, ReportMessage(LeaseRequest(token, make_report())))

    def on_message(
        self, now_ns: int, sender: str, message: LeaseGranted | NotLeader | VersionCommitted
    ) -> bool:
        """Handle a message from another front.

        Returns:
            Whether a newer version was adopted.

        Raises:
            RulesError: The version in the message is damaged, or differs from one with the same number.
        """
        match message:
            case VersionCommitted(_, version_bytes):
                return sender in self._voters and self._on_version(now_ns, decode_version(version_bytes))
            case LeaseGranted() if sender in self._voters:
                return self._on_grant(now_ns, sender, message)
            case NotLeader(_, leader):
                self._on_not_leader(now_ns, sender, leader)
        return False

    def _on_version(self, now_ns: int, version: RuleVersion) -> bool:
        is_adopted = self.lease.adopt(version)
        if is_adopted:
            self._report_soon(now_ns)
        return is_adopted

    def _on_grant(self, now_ns: int, sender: str, message: LeaseGranted) -> bool:
        grant = message.grant
        version = decode_version(message.version_bytes) if message.version_bytes else None
        if version is not None and version.number != grant.version_number:
            raise RulesError("a grant contains another version than it names")
        is_adopted = self.lease.on_grant(now_ns, grant, version)
        if grant.incarnation == self.incarnation:
            self._unanswered_reports = 0
            self.known_leader = sender
            self._switch_target(sender)
            self.has_held_lease = self.has_held_lease or not self.lease.is_cautious(now_ns)
        if is_adopted:
            self._report_soon(now_ns)
        return is_adopted

    def _on_not_leader(self, now_ns: int, sender: str, leader: str) -> None:
        if sender != self.target:
            return
        self._unanswered_reports = 0
        if leader not in self._voters or leader == sender:
            self._switch_target(self._choose_other_voter())
            return
        self._switch_target(leader)
        if now_ns >= self._next_redirect_ns:
            self._next_redirect_ns = now_ns + MIN_REDIRECT_INTERVAL_NS
            self._report_within(now_ns, REDIRECT_DELAY_NS)

    def _report_soon(self, now_ns: int) -> None:
        """Report an adopted version soon, so that it becomes active."""
        self._report_within(now_ns, ADOPTION_REPORT_DELAY_NS)

    def _report_within(self, now_ns: int, delay_ns: int) -> None:
        self.lease.next_request_ns = min(self.lease.next_request_ns, now_ns + delay_ns)

    def _choose_other_voter(self) -> str:
        others = [name for name in self._voters if name != self.target]
        return self._random.choice(others) if others else self.target

    def _switch_target(self, voter: str) -> None:
        if voter != self.target:
            self.target = voter
            self._unanswered_reports = 0

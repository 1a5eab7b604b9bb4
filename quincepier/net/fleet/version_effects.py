"""What a rule version does to this front's module: machines that drain, homes, and the cautious set.

The module hears of no order: machines under one are list lines that drain. What was decided by a lease that
has run out is never written: asked before each event of the module and before each command's first byte.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from quincepier import clock
from quincepier.errors import QuincepierError
from quincepier.interface import CacheStatus, EndpointState, EndpointUpdate, RequestReceived
from quincepier.memory.open_requests import OpenAttempt, OpenRequest
from quincepier.net.fleet.active_rules import ActiveRules
from quincepier.net.fleet.endpoint_overlay import EndpointOverlay
from quincepier.net.fleet.follower import Follower
from quincepier.net.fleet.report_counters import ReportCounters
from quincepier.net.module import ModuleActor
from quincepier.rules import FrontReport, RuleVersion, initial_version

if TYPE_CHECKING:
    from quincepier.tenancy import PlacementTable


class VersionEffects:
    """Is the module actor's `settled`."""

    def __init__(self, module: ModuleActor, follower: Follower, bearing: ActiveRules, span: int) -> None:
        self.module, self.follower, self.bearing = module, follower, bearing
        self.checks = module.checks
        self.overlay = EndpointOverlay(module.directory.hosts)
        self.tally = ReportCounters(module.config.settings.classes, clock.now(), span)
        self.homes: PlacementTable | None = None
        self.kept: RuleVersion | None = None  # of an earlier start
        self.cautious, self.since = True, clock.boot()
        self.unsure = False
        self.number, self.seq, self.revision, self.doubt = -1, 0, 0, ""
        self.taken = -1
        self.applied: Callable[[], None] = lambda: None  # told after each change
        self.busy = False
        self.in_part = -1  # the number of a version of which the homes can't be used
        self.usable = initial_version()  # the last version of which they could

    @property
    def version(self) -> RuleVersion:
        """By which this front decides, or, before its first answer, keeps to its cautious set: what a voter
        reads from its own log at the start may be older than what its earlier start was told.
        """
        known, kept = self.follower.version, self.kept
        if kept is not None and self.follower.holder.blank() and kept.number > known.number:
            return kept
        return known

    def wants_caution(self, now: int) -> str:
        """Why this front is to be cautious; empty where it is not."""
        if self.in_part == self.version.number:
            return "a version that can't be used"
        if self.follower.cautious(now):
            return "no lease yet" if not self.follower.granted_once else "its lease has run out"
        return self.doubt

    def apply(self, why: str = "") -> None:
        """Put the version, and whether this front is cautious, in force at the module. Cheap where nothing
        has changed.
        """
        now, version = clock.boot(), self.version
        reason = self.wants_caution(now)
        cautious = bool(reason)
        if cautious != self.cautious:
            self.since = now
        # a move may have begun since that this front can't know of
        spoilt = version.number == self.in_part
        unsure = spoilt or (cautious and (not version.number or now - self.since > self.bearing.notice))
        as_before = (version.number, cautious, unsure) == (self.number, self.cautious, self.unsure)
        if as_before and self.taken == self.bearing.taken:
            return
        self.taken = self.bearing.taken  # another file tells tenants apart in another way
        try:
            homes = self.bearing.homes(self.usable if spoilt else version, cautious, unsure)
        except QuincepierError as error:  # its orders hold all the same, and no lease is had by it
            self.checks.event("rule version not taken", error.line())
            if not spoilt:
                self.in_part = version.number
                self.apply(why)
            return
        if not spoilt:
            self.usable = version
        if version.number != self.number:
            self.tally.begin(clock.now())
        changed = cautious != self.cautious
        self.number, self.cautious, self.unsure = version.number, cautious, unsure
        self.homes = homes
        if changed and cautious:
            self._take_back()
        self.module.router.homes = self.homes
        leaving = self.bearing.leaving(version, cautious)
        news = self.overlay.change(leaving, [e.machine for e in self.module.directory.entries.values()])
        if changed:
            self.checks.count("cautious set entered" if cautious else "cautious set left")
            what = "cautious entered" if cautious else "cautious left"
            told = logger.bind(event=what, why=reason or why, number=version.number, machines=len(leaving))
            told.info("{}: {}; version {}", what, reason or why or "a lease is held", version.number)
        if news is not None:
            self.busy = True
            try:
                self.module.told_of_list(news)
            finally:
                self.busy = False
        self.applied()

    def _take_back(self) -> None:
        """What may not be repeated and is not written goes back to the module: after a standstill its time is
        over, and the tenant may be served at another home. Machines are seen to by their list lines.
        """
        for request in list(self.module.requests.open.values()):
            if request.tenant and self.bearing.once[request.cls]:
                for attempt in request.attempts:
                    self.module.take_back(attempt)

    # As the module's actor asks

    def stale(self) -> bool:
        """Whether a command decided before may not hold any more: looked at right before its first byte."""
        return not self.cautious and self.follower.cautious(clock.boot())

    def before(self, now: int) -> None:
        if not self.cautious and not self.busy and self.follower.cautious(clock.boot()):
            try:
                self.apply()
            except Exception as error:  # a defect: the request that is decided next is not to fail for it
                self.checks.event("exception in the fleet", f"{type(error).__name__}: {error}")

    def listed(self, news: EndpointUpdate) -> EndpointUpdate:
        if self.homes is not None:
            self.homes.renew()
        return self.overlay.over(news)

    def heard(self, seq: int, of_list: bool) -> None:
        self.seq = max(self.seq, seq)
        if of_list:
            self.revision = self.seq

    def came(self, event: RequestReceived, request: OpenRequest) -> None:
        event.tenant, request.tenant = self.bearing.tenant_of(request.item)
        if self.homes is not None:
            once = self.bearing.once[request.cls]
            request.shard = self.homes.decide(event.tenant, event.object, once, event.repeat)[0]

    def sent(self, attempt: OpenAttempt, now: int) -> None:
        self.tally.sent(attempt, now)

    def ended(self, attempt: OpenAttempt, note: CacheStatus) -> None:
        if note is not CacheStatus.NONE:
            self.tally.ended(attempt.request, note, clock.now())

    def answered(self, request: OpenRequest, status: int) -> None:
        self.tally.answered(request, status, clock.now())

    # What is reported

    def report(self) -> FrontReport:
        module, now = self.module, clock.now()
        hosts, number = module.directory.hosts, self.follower.version.number
        aside = [
            entry.record.host
            for entry in module.directory.entries.values()
            if entry.machine.state is EndpointState.READY and self._set_aside(entry.machine.cache)
        ]
        about = FrontReport(
            self.follower.name,
            self.follower.start,
            max(number - 1, 0) if number == self.in_part else number,
            self.follower.digest_now(),
            self.cautious,
            0,
            purge_place=self.seq,
        )
        return self.tally.report(now, about, list(module.requests.open.values()), aside, hosts)

    def _set_aside(self, number: int) -> bool:
        node = self.module.router.placement.table.by_id.get(number)
        return node is not None and node.is_ejected

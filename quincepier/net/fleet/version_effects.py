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
        self.module, self.follower, self.active_rules = module, follower, bearing
        self.checks = module.checks
        self.overlay = EndpointOverlay(module.directory.host_by_number)
        self.counters = ReportCounters(module.config.settings.classes, clock.now(), span)
        self.placements: PlacementTable | None = None
        self.stored_version: RuleVersion | None = None  # of an earlier start
        self.is_cautious, self.cautious_since_ns = True, clock.boot()
        self.is_uncertain = False
        self.applied_number, self.change_log_sequence, self.list_revision, self.divergence_reason = (
            -1,
            0,
            0,
            "",
        )
        self.applied_file_count = -1
        self.on_applied: Callable[[], None] = lambda: None  # told after each change
        self.is_updating_list = False
        self.unusable_number = -1  # the number of a version of which the homes can't be used
        self.last_usable_version = initial_version()  # the last version of which they could

    @property
    def version(self) -> RuleVersion:
        """By which this front decides, or, before its first answer, keeps to its cautious set: what a voter
        reads from its own log at the start may be older than what its earlier start was told.
        """
        known, kept = self.follower.version, self.stored_version
        if kept is not None and self.follower.lease.is_awaiting_first_answer() and kept.number > known.number:
            return kept
        return known

    def caution_reason(self, now: int) -> str:
        """Why this front is to be cautious; empty where it is not."""
        if self.unusable_number == self.version.number:
            return "a version that can't be used"
        if self.follower.is_cautious(now):
            return "no lease yet" if not self.follower.has_held_lease else "its lease has run out"
        return self.divergence_reason

    def apply(self, why: str = "") -> None:
        """Put the version, and whether this front is cautious, in force at the module. Cheap where nothing
        has changed.
        """
        now, version = clock.boot(), self.version
        reason = self.caution_reason(now)
        cautious = bool(reason)
        if cautious != self.is_cautious:
            self.cautious_since_ns = now
        # a move may have begun since that this front can't know of
        spoilt = version.number == self.unusable_number
        unsure = spoilt or (
            cautious and (not version.number or now - self.cautious_since_ns > self.active_rules.notice_ns)
        )
        as_before = (version.number, cautious, unsure) == (
            self.applied_number,
            self.is_cautious,
            self.is_uncertain,
        )
        if as_before and self.applied_file_count == self.active_rules.file_count:
            return
        self.applied_file_count = (
            self.active_rules.file_count
        )  # another file tells tenants apart in another way
        try:
            homes = self.active_rules.placement_table(
                self.last_usable_version if spoilt else version, cautious, unsure
            )
        except QuincepierError as error:  # its orders hold all the same, and no lease is had by it
            self.checks.event("rule version not taken", error.line())
            if not spoilt:
                self.unusable_number = version.number
                self.apply(why)
            return
        if not spoilt:
            self.last_usable_version = version
        if version.number != self.applied_number:
            self.counters.reset(clock.now())
        changed = cautious != self.is_cautious
        self.applied_number, self.is_cautious, self.is_uncertain = version.number, cautious, unsure
        self.placements = homes
        if changed and cautious:
            self._take_back_unsafe_attempts()
        self.module.router.homes = self.placements
        leaving = self.active_rules.cordoned_hosts(version, cautious)
        news = self.overlay.set_cordoned(
            leaving, [e.machine for e in self.module.directory.entry_by_host.values()]
        )
        if changed:
            self.checks.count("cautious set entered" if cautious else "cautious set left")
            what = "cautious entered" if cautious else "cautious left"
            told = logger.bind(event=what, why=reason or why, number=version.number, machines=len(leaving))
            told.info("{}: {}; version {}", what, reason or why or "a lease is held", version.number)
        if news is not None:
            self.is_updating_list = True
            try:
                self.module.told_of_list(news)
            finally:
                self.is_updating_list = False
        self.on_applied()

    def _take_back_unsafe_attempts(self) -> None:
        """What may not be repeated and is not written goes back to the module: after a standstill its time is
        over, and the tenant may be served at another home. Machines are seen to by their list lines.
        """
        for request in list(self.module.requests.request_by_number.values()):
            if request.tenant and self.active_rules.is_unsafe_class[request.class_index]:
                for attempt in request.attempts:
                    self.module.take_back(attempt)

    # As the module's actor asks

    def stale(self) -> bool:
        """Whether a command decided before may not hold any more: looked at right before its first byte."""
        return not self.is_cautious and self.follower.is_cautious(clock.boot())

    def before(self, now: int) -> None:
        if not self.is_cautious and not self.is_updating_list and self.follower.is_cautious(clock.boot()):
            try:
                self.apply()
            except Exception as error:  # a defect: the request that is decided next is not to fail for it
                self.checks.event("exception in the fleet", f"{type(error).__name__}: {error}")

    def listed(self, news: EndpointUpdate) -> EndpointUpdate:
        if self.placements is not None:
            self.placements.renew()
        return self.overlay.overlay(news)

    def heard(self, seq: int, of_list: bool) -> None:
        self.change_log_sequence = max(self.change_log_sequence, seq)
        if of_list:
            self.list_revision = self.change_log_sequence

    def came(self, event: RequestReceived, request: OpenRequest) -> None:
        event.tenant, request.tenant = self.active_rules.tenant_of(request.object_key)
        if self.placements is not None:
            is_unsafe = self.active_rules.is_unsafe_class[request.class_index]
            request.shard = self.placements.decide(
                event.tenant, event.object, not is_unsafe, event.repeat
            ).shard

    def sent(self, attempt: OpenAttempt, now: int) -> None:
        self.counters.on_sent(attempt, now)

    def ended(self, attempt: OpenAttempt, note: CacheStatus) -> None:
        if note is not CacheStatus.NONE:
            self.counters.on_attempt_completed(attempt.request, note, clock.now())

    def answered(self, request: OpenRequest, status: int) -> None:
        self.counters.on_answered(request, status, clock.now())

    # What is reported

    def report(self) -> FrontReport:
        module, now = self.module, clock.now()
        hosts, number = module.directory.host_by_number, self.follower.version.number
        aside = [
            entry.record.host
            for entry in module.directory.entry_by_host.values()
            if entry.machine.state is EndpointState.READY and self._is_ejected(entry.machine.cache)
        ]
        about = FrontReport(
            self.follower.name,
            self.follower.incarnation,
            max(number - 1, 0) if number == self.unusable_number else number,
            self.follower.version_digest(),
            self.is_cautious,
            0,
            change_log_sequence=self.change_log_sequence,
        )
        return self.counters.report(
            now, about, list(module.requests.request_by_number.values()), aside, hosts
        )

    def _is_ejected(self, number: int) -> bool:
        node = self.module.router.placement.table.by_id.get(number)
        return node is not None and node.is_ejected

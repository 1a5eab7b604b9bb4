"""Applies a rule version to this front's router: draining machines, placements, and cautious mode.

The router does not know maintenance tasks: it receives cordoned machines as draining. A command that was
decided under a lease that has since ended is never written: the lease is checked before each event of the
router and before the first byte of each command.
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

LEASE_HELD_REASON = "a lease is held"


class VersionEffects:
    """Applies the adopted version to the router; the module's actor calls it as `RouterOverrides`.

    Attributes:
        module: The actor that owns the router.
        follower: Supplies the adopted version and the lease.
        active_rules: The sections of the operators' file that concern rule versions.
        checks: Counters and log events.
        stored_version: The version that an earlier incarnation of this front adopted; None without one.
        is_cautious: Whether the front is in cautious mode.
        applied_number: Number of the version in force at the router.
        list_revision: Sequence number in the change log of the last change of the endpoint list.
        divergence_reason: Why the decisions diverge from other fronts; empty if they do not.
        on_applied: Called after each change of the version, the mode or the placements.
    """

    def __init__(
        self, module: ModuleActor, follower: Follower, active_rules: ActiveRules, window_s: int
    ) -> None:
        self.module = module
        self.follower = follower
        self.active_rules = active_rules
        self.checks = module.checks
        self.stored_version: RuleVersion | None = None
        self.is_cautious = True
        self.applied_number = -1
        self.list_revision = 0
        self.divergence_reason = ""
        self.on_applied: Callable[[], None] = lambda: None
        self._overlay = EndpointOverlay(module.directory.host_by_number)
        self._counters = ReportCounters(module.config.settings.classes, clock.now(), window_s)
        self._placements: PlacementTable | None = None
        self._cautious_since_ns = clock.boot()
        self._may_lack_migrations = False
        self._change_log_sequence = 0
        self._applied_file_count = -1
        self._is_updating_list = False
        self._unusable_number = -1  # number of the version whose placements can't be used
        self._last_usable_version = initial_version()

    @property
    def version(self) -> RuleVersion:
        """The version by which this front decides.

        Before the first response of a leader it is the stored version if that is newer: a voter's own log may
        at its start be older than the version that its earlier incarnation was granted.
        """
        adopted = self.follower.version
        stored = self.stored_version
        is_waiting = self.follower.lease.is_awaiting_first_answer()
        if stored is not None and is_waiting and stored.number > adopted.number:
            return stored
        return adopted

    def caution_reason(self, now_ns: int) -> str:
        """Return why this front must be in cautious mode; empty if it is not required."""
        if self._unusable_number == self.version.number:
            return "a version that can't be used"
        if self.follower.is_cautious(now_ns):
            return "its lease has run out" if self.follower.has_held_lease else "no lease yet"
        return self.divergence_reason

    def apply(self, reason: str = "") -> None:
        """Apply the version and the mode to the router; cheap if nothing has changed.

        Args:
            reason: Why cautious mode may have ended, for the log.
        """
        now_ns = clock.boot()
        version = self.version
        caution_reason = self.caution_reason(now_ns)
        is_cautious = bool(caution_reason)
        if is_cautious != self.is_cautious:
            self._cautious_since_ns = now_ns
        may_lack_migrations = self._may_lack_migrations_at(now_ns, version, is_cautious)
        if not self._has_changed(version, is_cautious, may_lack_migrations):
            return
        was_unusable = version.number == self._unusable_number
        if not self._update_placements(version, is_cautious, may_lack_migrations):
            if not was_unusable:
                self.apply(reason)
            return
        if version.number != self.applied_number:
            self._counters.reset(clock.now())
        is_mode_changed = is_cautious != self.is_cautious
        self.applied_number = version.number
        self.is_cautious = is_cautious
        self._may_lack_migrations = may_lack_migrations
        if is_mode_changed and is_cautious:
            self._revoke_unsafe_attempts()
        self.module.router.find_home = self._placements
        cordoned = self.active_rules.cordoned_hosts(version, is_cautious)
        listed = [entry.machine for entry in self.module.directory.entry_by_host.values()]
        update = self._overlay.set_cordoned(cordoned, listed)
        if is_mode_changed:
            self._log_mode(caution_reason or reason, version.number, len(cordoned))
        if update is not None:
            self._update_list(update)
        self.on_applied()

    def _may_lack_migrations_at(self, now_ns: int, version: RuleVersion, is_cautious: bool) -> bool:
        """Whether a migration unknown to this front may have started."""
        if version.number == self._unusable_number:
            return True
        cautious_for_ns = now_ns - self._cautious_since_ns
        return is_cautious and (not version.number or cautious_for_ns > self.active_rules.grace_period_ns)

    def _has_changed(self, version: RuleVersion, is_cautious: bool, may_lack_migrations: bool) -> bool:
        # Another operators' file may assign requests to other tenants.
        return (
            version.number != self.applied_number
            or is_cautious != self.is_cautious
            or may_lack_migrations != self._may_lack_migrations
            or self._applied_file_count != self.active_rules.file_count
        )

    def _update_placements(self, version: RuleVersion, is_cautious: bool, may_lack_migrations: bool) -> bool:
        """Place requests by the version, or by the last usable one; return False if it can't be used."""
        self._applied_file_count = self.active_rules.file_count
        is_unusable = version.number == self._unusable_number
        placed_version = self._last_usable_version if is_unusable else version
        try:
            placements = self.active_rules.placement_table(placed_version, is_cautious, may_lack_migrations)
        except QuincepierError as error:
            # Its maintenance tasks still apply, but the front takes no lease for it.
            self.checks.event("rule_version_rejected", error.line())
            self._unusable_number = version.number
            return False
        if not is_unusable:
            self._last_usable_version = version
        self._placements = placements
        return True

    def _revoke_unsafe_attempts(self) -> None:
        """Revoke unsafe attempts whose first byte was not sent.

        After a process pause the lease has ended, and the tenant may be served at another shard. Other
        attempts are handled by the endpoint list.
        """
        for request in list(self.module.requests.request_by_number.values()):
            if request.tenant and self.active_rules.is_unsafe_class[request.class_index]:
                for attempt in request.attempts:
                    self.module.revoke_attempt(attempt)

    def _log_mode(self, reason: str, number: int, cordoned: int) -> None:
        self.checks.count("cautious_mode_entries" if self.is_cautious else "cautious_mode_exits")
        event = "cautious_mode_entered" if self.is_cautious else "cautious_mode_left"
        log = logger.bind(event=event, reason=reason, number=number, machines=cordoned)
        verb = "entered" if self.is_cautious else "left"
        log.info("cautious mode {}: {}; version {}", verb, reason or LEASE_HELD_REASON, number)

    def _update_list(self, update: EndpointUpdate) -> None:
        self._is_updating_list = True
        try:
            self.module.apply_endpoint_update(update)
        finally:
            self._is_updating_list = False

    # Methods that the module's actor calls (net/router_overrides.py).

    def are_decisions_stale(self) -> bool:
        """Whether earlier decisions may be invalid; called just before the first byte of a command."""
        return not self.is_cautious and self.follower.is_cautious(clock.boot())

    def before_event(self, now_ns: int) -> None:  # noqa: ARG002 - leases use a clock that runs in sleep
        """Enter cautious mode before the router's next event if the lease has ended."""
        if self._is_updating_list or not self.are_decisions_stale():
            return
        try:
            self.apply()
        except Exception as error:  # noqa: BLE001 - a defect must not fail the next request
            self.checks.exception("exception_in_agreement_node", error)

    def override_list(self, update: EndpointUpdate) -> EndpointUpdate:
        """Return an endpoint update with the states that the router must receive."""
        if self._placements is not None:
            self._placements.update_endpoints()
        return self._overlay.overlay(update)

    def on_change_log_read(self, sequence: int, is_list_change: bool) -> None:
        """Record the last sequence number read from the change log.

        Args:
            sequence: The sequence number.
            is_list_change: Whether that entry changes the endpoint list.
        """
        self._change_log_sequence = max(self._change_log_sequence, sequence)
        if is_list_change:
            self.list_revision = self._change_log_sequence

    def on_request(self, event: RequestReceived, request: OpenRequest) -> None:
        """Set the tenant and the shard of a received request."""
        tenant = self.active_rules.tenant_of(request.object_key)
        event.tenant = tenant.number
        request.tenant = tenant.name
        if self._placements is not None:
            is_unsafe = self.active_rules.is_unsafe_class[request.class_index]
            placement = self._placements.decide(event.tenant, event.object, not is_unsafe, event.is_repeat)
            request.shard = placement.shard

    def on_command_queued(self, attempt: OpenAttempt, now_ns: int) -> None:
        """Count a command that is sent."""
        self._counters.on_command_queued(attempt, now_ns)

    def on_attempt_completed(self, attempt: OpenAttempt, cache_status: CacheStatus) -> None:
        """Count an attempt that was completed."""
        if cache_status is not CacheStatus.NONE:
            self._counters.on_attempt_completed(attempt.request, cache_status, clock.now())

    def on_response(self, request: OpenRequest, status: int) -> None:
        """Count the final response of a request."""
        self._counters.on_response(request, status, clock.now())

    # Reports to the leader.

    def report(self) -> FrontReport:
        """Return this front's report."""
        number = self.follower.version.number
        base = FrontReport(
            front=self.follower.name,
            incarnation=self.follower.incarnation,
            version_number=max(number - 1, 0) if number == self._unusable_number else number,
            digest=self.follower.version_digest(),
            is_cautious=self.is_cautious,
            window_ms=0,
            change_log_sequence=self._change_log_sequence,
        )
        requests = list(self.module.requests.request_by_number.values())
        host_by_number = self.module.directory.host_by_number
        return self._counters.report(clock.now(), base, requests, self._ejected_hosts(), host_by_number)

    def _ejected_hosts(self) -> list[str]:
        return [
            entry.record.host
            for entry in self.module.directory.entry_by_host.values()
            if entry.machine.state is EndpointState.READY and self._is_ejected(entry.machine.number)
        ]

    def _is_ejected(self, number: int) -> bool:
        node = self.module.router.placement.table.by_id.get(number)
        return node is not None and node.is_ejected

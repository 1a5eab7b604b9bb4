"""Applies events of the change log to a front: endpoint lists and purges, and what they rule out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from quincepier import interface as io
from quincepier.checks import Checks
from quincepier.interface import UpdateScope
from quincepier.memory.machine_directory import MachineDirectory
from quincepier.memory.open_requests import OpenAttempt, OpenRequest, OpenRequestTable
from quincepier.net.cache_fleet import CacheFleet
from quincepier.net.event_dates import EventDates
from quincepier.translate import make_object_purged
from quincepier.wire.changelog import ChangeEvent, FleetChange, InvalidRecord, PurgeRecord
from quincepier.wire.errors import ProtocolError

if TYPE_CHECKING:  # imported at run time only if the operators' file has the section `agreement`
    from quincepier.net.router_overrides import RouterOverrides


class ChangeLogApplier:
    """Passes events of the change log to the router, and revokes the attempts that they rule out.

    Args:
        checks: Counters and event log.
        dates: Converts dates of the change log.
        directory: The listed machines and their numbers.
        fleet: The actors of listed machines.
        requests: The open requests.
        dispatch: Passes an event to the router and carries out its actions.
        revoke_attempt: Forbids the first byte of an attempt.

    Attributes:
        has_endpoint_list: A full endpoint list has been applied.
        overrides: Changes the router's events, if the operators' file has the section `agreement`.
    """

    def __init__(
        self,
        checks: Checks,
        dates: EventDates,
        directory: MachineDirectory,
        fleet: CacheFleet,
        requests: OpenRequestTable,
        dispatch: Callable[[io.Event], None],
        revoke_attempt: Callable[[OpenAttempt], None],
    ) -> None:
        self.checks = checks
        self.dates = dates
        self.directory = directory
        self.fleet = fleet
        self.requests = requests
        self.dispatch = dispatch
        self.revoke_attempt = revoke_attempt
        self.has_endpoint_list = False
        self.overrides: RouterOverrides | None = None

    def apply_known(self, events: Iterable[ChangeEvent]) -> None:
        """Apply the events that are known at the start."""
        known = list(events)
        for event in known:
            self.dates.observe(event)
        for event in known:
            self.apply(event, UpdateScope.CHANGES if self.has_endpoint_list else UpdateScope.RESTORED)

    def apply(self, event: ChangeEvent, scope: UpdateScope, absent_at_ns: int = 0) -> None:
        """Apply an event.

        Args:
            event: The event.
            scope: What an endpoint list in it updates, unless it is a full list that changes an earlier one.
            absent_at_ns: Time of the last response of the log without the event, ns; 0: unknown.
        """
        if self.overrides is not None:
            self.overrides.on_change_log_read(event.seq, isinstance(event, FleetChange))
        self.dates.observe(event)
        self._redate_starts()
        if isinstance(event, PurgeRecord):
            self.dispatch(make_object_purged(event, self.dates.purge_age(event, absent_at_ns)))
            self._revoke_purged(event)
        elif isinstance(event, FleetChange):
            self._apply_list(event, scope)
        elif isinstance(event, InvalidRecord):
            self.checks.event("change_log_record_invalid", event.reason)

    def apply_endpoint_update(self, update: io.EndpointUpdate) -> None:
        """Pass an endpoint update to the router, after revoking the attempts that it rules out."""
        self._revoke_leaving(update)
        self.dispatch(update)

    def _apply_list(self, change: FleetChange, scope: UpdateScope) -> None:
        if change.is_full_list and scope is UpdateScope.CHANGES:
            scope = UpdateScope.FULL
        try:
            update = self.directory.apply(change, scope)
        except ProtocolError as error:
            self.checks.event("change_log_record_invalid", str(error))
            return
        for host in change.hosts:
            for fault in host.address_errors:
                self.checks.event("endpoint_address_invalid", f"{host.host}: {fault}")
        self.has_endpoint_list = self.has_endpoint_list or change.is_full_list
        self._override_and_apply(update)
        if change.is_full_list:
            self.fleet.update_all()
        else:
            self.fleet.update_changed(machine.number for machine in update.endpoints)

    def _redate_starts(self) -> None:
        """Correct start times that a later date in the log proves to be earlier, and notify the router."""
        machines = self.directory.redate_starts(self.dates.take_unsettled_starts())
        if machines:
            self._override_and_apply(io.EndpointUpdate(UpdateScope.CHANGES, machines))

    def _override_and_apply(self, update: io.EndpointUpdate) -> None:
        self.apply_endpoint_update(update if self.overrides is None else self.overrides.override_list(update))

    def _revoke_purged(self, purge: PurgeRecord) -> None:
        """Revoke attempts for purged objects: if not sent yet, the router decides on them anew."""

        def is_purged(request: OpenRequest) -> bool:
            return request.object_id == purge.object or (
                purge.object is None and request.group == purge.group
            )

        self._revoke_attempts(
            attempt
            for request in self.requests.request_by_number.values()
            if is_purged(request)
            for attempt in request.attempts
        )

    def _revoke_leaving(self, update: io.EndpointUpdate) -> None:
        """Revoke attempts at machines that drain or are gone, or that fetch from such a machine."""
        listed = {m.number: m.state for m in update.endpoints}
        leaving = {cache for cache, state in listed.items() if state is not io.EndpointState.READY}
        if update.scope is not UpdateScope.CHANGES:
            leaving |= self.fleet.numbers() - listed.keys()
        if not leaving:
            return
        self._revoke_attempts(
            attempt
            for request in self.requests.request_by_number.values()
            for attempt in request.attempts
            if attempt.cache in leaving or attempt.source in leaving
        )

    def _revoke_attempts(self, attempts: Iterable[OpenAttempt]) -> None:
        for attempt in list(attempts):
            self.revoke_attempt(attempt)

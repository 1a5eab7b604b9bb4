"""The decision module's actor, the only caller of `Router`.

It passes every message on as an event of the router and carries out the actions that the router returns,
without decisions of its own.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from loguru import logger

from quincepier import clock
from quincepier import interface as io
from quincepier.checks import Checks
from quincepier.config import FrontConfig
from quincepier.interface import AttemptOutcome, UpdateScope
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.machine_directory import MachineDirectory
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenAttempt, OpenRequest, OpenRequestTable
from quincepier.net.actor import Actor
from quincepier.net.actor_dependencies import ActorDependencies
from quincepier.net.cache import CacheActor
from quincepier.net.cache_connection_context import CacheConnectionContext
from quincepier.net.cache_fleet import CacheFleet
from quincepier.net.change_log_applier import ChangeLogApplier
from quincepier.net.duplicate_requests import DuplicateRequestDetector
from quincepier.net.event_dates import EventDates
from quincepier.net.first_byte_checks import check_first_byte
from quincepier.net.messages import (
    AttemptFinished,
    CancelCommand,
    ChangeLogEvent,
    ClientDisconnected,
    HealthCheckFinished,
    RequestArrived,
    Response,
    ResponseDelayed,
    RevokeCommand,
    RunHealthCheck,
    SendCommand,
    ToModule,
)
from quincepier.net.router_timers import RouterTimers
from quincepier.net.sockets import Descriptors
from quincepier.policy import Router
from quincepier.recovery import count_requesting_fronts
from quincepier.translate import make_attempt_completed, make_request_received, make_serve_fields
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:  # imported at run time only if the operator's file has their sections
    from quincepier.addresses.section import AddressesSection
    from quincepier.net.router_overrides import RouterOverrides

MAX_MAILBOX_MESSAGES = 1024
# What the module handles before other tasks run: messages at least, and further ones within this time.
MIN_MESSAGES_PER_SLICE, MAX_SLICE_NS = 32, 10 * clock.MS
EXPIRY_CHECK_INTERVAL_NS = 20 * clock.MS  # between looks at the time of requests that wait for their turn


class ModuleActor(Actor[ToModule]):
    """Runs the router: converts messages to its events and performs its actions.

    Args:
        config: The configuration that the front starts with.
        checks: Counters, event log and invariant checks.
        pool: The buffers for reads and response bodies.
        descriptors: Counts the front's sockets and holds the limits on them.
        budget: Limits that follow from the memory limit.

    Attributes:
        config: The configuration that the front started with.
        dependencies: Configuration and resources shared by all actors.
        context: State shared by the actors of all caches.
        dates: Converts dates of the change log.
        directory: The listed machines and their numbers.
        fleet: Creates and ends the actors of listed machines.
        requests: The open requests.
        duplicates: Detects requests that come again under the id of an earlier one.
        caches: Actors by machine number.
        timers: The router's timers.
        change_log: Applies events of the change log.
        pending_events: Events that follow from actions, dispatched after them.
        next_expiry_check_ns: When to look at the time of waiting requests again.
        router: The decision module.
        overrides: Changes the router's events, if the operator's file has the section `agreement`.
    """

    name = "module"

    def __init__(
        self,
        config: FrontConfig,
        checks: Checks,
        pool: BufferPool,
        descriptors: Descriptors,
        budget: MemoryBudget,
    ) -> None:
        super().__init__(checks, min(MAX_MAILBOX_MESSAGES, budget.max_open_requests))
        self.config = config
        self.dependencies = ActorDependencies(config, checks, pool, descriptors, self.mailbox, budget)
        self.context = CacheConnectionContext(self.dependencies)
        self.dates = EventDates(config)
        self.directory = MachineDirectory(config.zones, config.kinds, self.dates.convert_start_time)
        self.fleet = CacheFleet(self.context, self.directory, self._count_requesting_fronts)
        self.requests = OpenRequestTable(budget.max_open_requests)
        self.duplicates = DuplicateRequestDetector(self.dependencies, self.requests)
        self.caches: dict[int, CacheActor] = self.context.actor_by_number
        self.timers = RouterTimers(self.requests, self.mailbox.wake)
        self.pending_events: deque[io.Event] = deque()
        self.next_expiry_check_ns = 0
        self.router = Router(config.settings, config.seed, clock.now())
        self.overrides: RouterOverrides | None = None
        self.change_log = ChangeLogApplier(
            checks,
            self.dates,
            self.directory,
            self.fleet,
            self.requests,
            self._dispatch,
            self.revoke_attempt,
        )

    @property
    def has_endpoint_list(self) -> bool:
        """Whether a full endpoint list has been applied."""
        return self.change_log.has_endpoint_list

    def set_overrides(self, overrides: RouterOverrides) -> None:
        """Let the rules that fronts agree on change the router's events, from the first one on."""
        self.overrides = self.change_log.overrides = overrides

    def start_with_known_events(self) -> None:
        """Apply the change-log events of the configuration, then start handling messages."""
        self.change_log.apply_known(self.config.known)
        self.start()

    async def run(self) -> None:
        """Handle timers and messages until cancelled; other tasks get the loop at regular intervals."""
        while True:
            if self._handle_slice():
                await asyncio.sleep(0)
            else:
                self.timers.schedule_wakeup()
                await self.mailbox.wait()

    def _handle_slice(self) -> bool:
        """Handle timers and messages for one slice of time; return whether messages may be left.

        The slice is one of time, since a turn of the other tasks may bring many messages and take long.
        """
        self._handle_expired_requests(clock.now())
        ends_at_ns, handled_count = clock.now() + MAX_SLICE_NS, 0
        while handled_count < MIN_MESSAGES_PER_SLICE or clock.now() < ends_at_ns:
            self._fire_due_timers()
            message = self.mailbox.take()
            if message is None:
                return False
            self.handle_safely(message)
            handled_count += 1
        return True

    def _handle_expired_requests(self, now: int) -> None:
        """Handle the waiting requests whose time is over now, ahead of their turn."""
        if now < self.next_expiry_check_ns:
            return
        self.next_expiry_check_ns = now + EXPIRY_CHECK_INTERVAL_NS
        step = self.config.settings.step
        expired = [
            message
            for message in self.mailbox.new_work
            if isinstance(message, RequestArrived) and message.request.time_left(now) <= step
        ]
        for message in expired:
            self.mailbox.remove_new_work(message)
            self.handle_safely(message)

    def handle(self, message: ToModule) -> None:
        """Handle one message."""
        match message:
            case RequestArrived(request):
                self._on_request_arrived(request)
            case ClientDisconnected(request):
                if request.number < 0:  # its RequestArrived is still queued
                    request.is_finished = True
                else:
                    self._on_client_disconnected(request)
            case ResponseDelayed(attempt):
                self._dispatch(io.ResponseDelayed(attempt.request.number, attempt.number))
            case AttemptFinished():
                self._on_attempt_finished(message)
            case HealthCheckFinished(cache, outcome, elapsed_ns, load_report):
                self._dispatch(io.HealthCheckCompleted(cache, outcome, elapsed_ns, load_report))
            case ChangeLogEvent(event, absent_at_ns):
                self.change_log.apply(event, UpdateScope.CHANGES, absent_at_ns)

    # Time

    def _fire_due_timers(self) -> None:
        while (token := self.timers.take_due(clock.now())) is not None:
            self._dispatch(io.TimerFired(token))

    # Events

    def _dispatch(self, event: io.Event, request: OpenRequest | None = None) -> None:
        now, actions = clock.now(), list[io.Action]()
        if self.overrides is not None:
            self.overrides.before_event(now)
        try:
            actions = self.router.handle(now, event)
        except Exception as error:  # an error in the router fails only this request
            self.checks.exception("exception_in_module", error, about=type(event).__name__)
            self._fail(request)
        for action in actions:
            try:
                self._perform(action, now)
            except Exception as error:
                self.checks.exception("exception_in_module_actor", error, about=type(action).__name__)
                self._fail(self.requests.request_by_number.get(getattr(action, "request", -1)))
        while self.pending_events:
            self._dispatch(self.pending_events.popleft())

    def _on_request_arrived(self, request: OpenRequest) -> None:
        if request.is_finished or request.is_cancelled:  # aborted while the message was queued
            return
        if self.requests.is_full:
            self.checks.event("request_rejected_open_limit")
            self._decline(Response(request, 503, retry_after_ms=self.config.retry_after_ms))
            return
        if (conflict := self.duplicates.find_conflict(request)) is not None:
            self.checks.event("bad_request", conflict)
            self._decline(Response(request, 409))
            return
        request.allows_concurrent_attempts = self._allows_concurrent_attempts(request.class_index)
        self.requests.add(request)
        event = make_request_received(request, clock.now())
        if self.overrides is not None:
            self.overrides.on_request(event, request)
        self._dispatch(event, request)

    def _decline(self, response: Response) -> None:
        """Respond to a request that the table of open requests does not take."""
        response.request.is_finished = True
        response.request.receiver.push(response)

    def _allows_concurrent_attempts(self, class_index: int) -> bool:
        """Whether two attempts of a request of this class may run at the same time."""
        settings = self.config.settings
        return settings.second_copies and settings.classes[class_index].effect is io.Idempotency.SAFE

    def _on_client_disconnected(self, request: OpenRequest) -> None:
        """Finish a request without a response; no attempt starts for it from now on."""
        if not request.is_finished:
            self.checks.count("requests_left")
            self.requests.finish(request)
            self._dispatch(io.ClientDisconnected(request.number))

    def _on_attempt_finished(self, finished: AttemptFinished) -> None:
        attempt = finished.attempt
        request = attempt.request
        check_first_byte(attempt, self.checks)
        self.checks.count(f"attempts_ended_{finished.outcome.name.lower()}")
        if request.is_cancelled:  # its ClientDisconnected may still be queued
            self._on_client_disconnected(request)
        self.duplicates.on_attempt_finished(attempt, finished.outcome)
        event = make_attempt_completed(attempt, finished)
        if self.overrides is not None:
            self.overrides.on_attempt_completed(attempt, finished.cache_status)
        if finished.outcome is AttemptOutcome.OK and not request.is_finished:
            self._respond(Response(request, 200, finished.body, finished.is_unchanged))
        elif finished.body is not None:
            finished.body.release()
        self.requests.remove_if_done(request)
        self._dispatch(event, request)

    def apply_endpoint_update(self, update: io.EndpointUpdate) -> None:
        """Pass an endpoint update to the router, after revoking the attempts that it rules out."""
        self.change_log.apply_endpoint_update(update)

    def revoke_attempt(self, attempt: OpenAttempt) -> None:
        """Forbid the attempt's first byte from now on; no effect if it has been sent."""
        if not attempt.is_completed and (cache := self.caches.get(attempt.cache)) is not None:
            attempt.revoke(clock.now())
            cache.mailbox.push(RevokeCommand(attempt))

    def apply_address_settings(self, section: AddressesSection) -> None:
        """Apply a changed section `addresses`; it takes effect from the next connect."""
        if self.context.dialer is not None:
            self.context.dialer.configure(section)
            self.fleet.update_all(force=True)

    def _count_requesting_fronts(self, zone_name: str) -> int:
        """Return how many fronts send requests to the machines of a zone, given by its name."""
        settings = self.config.settings
        return count_requesting_fronts(
            settings.fronts, settings.fronts_by_zone, self.directory.zone_by_name[zone_name]
        )

    # Actions

    def _perform(self, action: io.Action, now: int) -> None:
        match action:
            case io.ForwardRequest() | io.FetchThrough():
                self._start_attempt(action, now)
            case io.CancelAttempt(number, attempt_number):
                attempt = self.requests.find_open_attempt(number, attempt_number)
                if attempt is not None and (cache := self.caches.get(attempt.cache)) is not None:
                    cache.mailbox.push(CancelCommand(attempt))
            case io.RejectRequest(number, retry_after):
                if (request := self._find_unanswered(number)) is not None:
                    self._respond(Response(request, 503, retry_after_ms=retry_after // clock.MS or None))
            case io.FailRequest(number):
                if (request := self._find_unanswered(number)) is not None:
                    self._respond(Response(request, 502))
            case io.SetTimer(wait, token, request_number):
                self.timers.schedule(now + max(wait, 0), token, request_number)
            case io.SendHealthCheck(machine):
                if machine in self.caches:
                    self.caches[machine].mailbox.push(RunHealthCheck(self.config.report_on_probe))
            case io.WatchEndpoints():
                full_list = self.directory.full_list()
                self.pending_events.append(
                    full_list if self.overrides is None else self.overrides.override_list(full_list)
                )
            case io.WriteLog(text):
                line = self.directory.replace_numbers(text)
                logger.bind(event="router", detail=line).info("router: {}", line)

    def _find_unanswered(self, number: int) -> OpenRequest | None:
        """Return the open request of this number; None if it has its final response or is gone."""
        request = self.requests.request_by_number.get(number)
        return request if request is not None and not request.is_finished else None

    def _start_attempt(self, action: io.ForwardRequest | io.FetchThrough, now: int) -> None:
        request = self._find_unanswered(action.request)
        if not self.checks.must(request is not None, "no_attempt_after_final_answer"):
            return
        assert request is not None
        source = action.source if isinstance(action, io.FetchThrough) else -1
        attempt = self.requests.start_attempt(request, action.cache, now, source)
        self.checks.count("attempts_retried" if attempt.number else "attempts_first")
        attempt.first_byte_deadline_ns = now + action.first_byte_within if action.first_byte_within else 0
        time_left = request.time_left(now)
        timeout = min(action.timeout, time_left) if action.timeout else time_left
        attempt.deadline_ns = now + timeout
        cache = self.caches.get(action.cache)
        if cache is None or len(request.attempts) > self.config.settings.attempts:
            attempt.is_completed = True
            self.mailbox.push(AttemptFinished(attempt, AttemptOutcome.NOT_PROCESSED, now))
            return
        if self.overrides is not None:
            self.overrides.on_command_queued(attempt, now)
        fields = tuple(make_serve_fields(action, request, self.directory, timeout))
        cache.mailbox.push(SendCommand(attempt, ServeCommand(request.job_id, fields, request.body)))

    def _respond(self, response: Response) -> None:
        request = response.request
        if self.checks.must(not request.is_finished, "one_final_answer_per_request"):
            if self.overrides is not None:
                self.overrides.on_response(request, response.status)
            self.requests.finish(request)
            self.checks.count(f"responses_{response.status}")
            request.receiver.push(response)
        elif response.body is not None:
            response.body.release()

    def _fail(self, request: OpenRequest | None) -> None:
        """Respond with 500 after an exception: an attempt may or may not have run."""
        if request is not None and not request.is_finished:
            self._respond(Response(request, 500))

    def on_handling_failed(self, message: ToModule) -> None:
        """Fail the request that the message is about."""
        if isinstance(message, RequestArrived):
            self._fail(message.request)
        elif isinstance(message, AttemptFinished):
            self._fail(message.attempt.request)

    # Maintenance

    def sweep(self, now: int, late: bool) -> None:
        """Close idle and stalled cache connections, and remove the actors of machines that left the list.

        Args:
            now: The time, ns.
            late: The sweep is late because the process was paused: no connection counts as stalled.
        """
        self.fleet.sweep(now, late)

    def fail_open_requests(self) -> None:
        """Respond with 502 to all open requests before the process ends; the router is not notified."""
        for request in [r for r in self.requests.request_by_number.values() if not r.is_finished]:
            self._respond(Response(request, 502))

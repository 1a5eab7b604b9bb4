"""The module's actor: the only one that calls the Router. Events in, its actions out, as they are."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
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
from quincepier.net.cache import CacheActor
from quincepier.net.cache_fleet import CacheFleet
from quincepier.net.event_dates import EventDates
from quincepier.net.first_byte_checks import check_first_byte
from quincepier.net.means import Means
from quincepier.net.messages import (
    Answer,
    CallOff,
    Came,
    Check,
    Checked,
    Ended,
    Left,
    News,
    Recall,
    Send,
    ToModule,
)
from quincepier.net.shared import Shared
from quincepier.net.sockets import Descriptors
from quincepier.policy import Router
from quincepier.recovery import fronts_that_ask
from quincepier.timers import Wheel
from quincepier.translate import (
    make_attempt_completed,
    make_object_purged,
    make_request_received,
    make_serve_fields,
)
from quincepier.wire.changelog import ChangeEvent, FleetChange, InvalidRecord, PurgeRecord
from quincepier.wire.errors import ProtocolError
from quincepier.wire.lines import ServeCommand

if TYPE_CHECKING:  # imported only where machines have several addresses, or the fleet settles things
    from quincepier.addresses.section import AddressesSection
    from quincepier.net.router_overrides import RouterOverrides

MAILBOX_MOST = 1024
TURNS = 32  # messages handled before others get the loop


class ModuleActor(Actor[ToModule]):
    name = "module"

    def __init__(
        self,
        config: FrontConfig,
        checks: Checks,
        pool: BufferPool,
        descriptors: Descriptors,
        make_room: Callable[[], None],
        budget: MemoryBudget,
    ) -> None:
        super().__init__(checks, MAILBOX_MOST)
        self.config = config
        self.means = Means(config, checks, pool, descriptors, self.mailbox, budget)
        self.shared = Shared(self.means, make_room)
        self.dates = EventDates(config)
        self.directory = MachineDirectory(config.zones, config.kinds, self.dates.start_of)
        self.fleet = CacheFleet(self.shared, self.directory, self._askers)
        self.requests = OpenRequestTable(budget.max_open_requests)
        self.caches: dict[int, CacheActor] = self.shared.actors
        self.timers: Wheel[tuple[int, int]] = Wheel(clock.now(), clock.MS)  # token, the request it is about
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_at = 0
        self.later: deque[io.Event] = deque()
        self.router = Router(config.settings, config.seed, clock.now())
        self.standing = False
        self.overrides: RouterOverrides | None = None  # where the operators' file has `agreement`

    def begin(self) -> None:
        """Tell the events known at the start; the list stands then."""
        for event in self.config.known:
            self.dates.observe(event)
        for event in self.config.known:
            self._news(event, UpdateScope.CHANGES if self.standing else UpdateScope.RESTORED)
        self.start()

    async def run(self) -> None:
        turns = 0
        while True:
            self._due()
            message = self.mailbox.take()
            if message is not None:
                self.safely(message)
                turns += 1
                if turns % TURNS == 0:
                    await asyncio.sleep(0)
            else:
                self._arm()
                await self.mailbox.wait()

    def handle(self, message: ToModule) -> None:
        match message:
            case Came(request):
                self._came(request)
            case Left(request):
                if request.number < 0:  # its turn has not come yet
                    request.is_finished = True
                else:
                    self._leave(request)
            case Ended():
                self._ended(message)
            case Checked(cache, ending, elapsed, report):
                self._tell(io.HealthCheckCompleted(cache, ending, elapsed, report))
            case News(event, unread_before):
                self._news(event, UpdateScope.CHANGES, unread_before)

    # Time

    def _due(self) -> None:
        while (timer := self.timers.take(clock.now())) is not None:
            token, number = timer.what
            if number >= 0 and (
                (request := self.requests.request_by_number.get(number)) is None or request.is_finished
            ):
                continue
            self._tell(io.TimerFired(token))

    def _arm(self) -> None:
        """Wake at the next timer, if nothing else comes before."""
        due = self.timers.next()
        if due is None:
            return
        if self.alarm is None or self.alarm_at > due or self.alarm_at <= clock.now():
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at = due
            wait = max(due - clock.now(), 0) / clock.SECOND
            self.alarm = asyncio.get_running_loop().call_later(wait, self._ring)

    def _ring(self) -> None:
        self.alarm = None
        self.mailbox.wake()

    # Events

    def _tell(self, event: io.Event, request: OpenRequest | None = None) -> None:
        now, actions = clock.now(), list[io.Action]()
        if self.overrides is not None:
            self.overrides.before_event(now)
        try:
            actions = self.router.handle(now, event)
        except Exception as error:  # whatever fails in the decisions ends that request alone
            self.checks.exception("exception_in_module", error, about=type(event).__name__)
            self._fail(request)
        for action in actions:
            try:
                self._perform(action, now)
            except Exception as error:
                self.checks.exception("exception_in_module_actor", error, about=type(action).__name__)
                self._fail(self.requests.request_by_number.get(getattr(action, "request", -1)))
        while self.later:
            self._tell(self.later.popleft())

    def _came(self, request: OpenRequest) -> None:
        if request.is_finished or request.is_cancelled:  # the client left as it waited
            return
        if self.requests.is_full:
            self.checks.event("request_rejected_open_limit")
            request.is_finished = True
            request.receiver.push(Answer(request, 503, wait_ms=self.means.config.retry_after_ms))
            return
        if request.job_id in self.requests.job_ids:
            self.checks.event("bad_request", "HTTP_X_JOB_ID is that of an open request")
            request.is_finished = True
            request.receiver.push(Answer(request, 409))
            return
        request.allows_second_copy = self._allows_second_copy(request.class_index)
        self.requests.add(request)
        event = make_request_received(request, clock.now())
        if self.overrides is not None:
            self.overrides.on_request(event, request)
        self._tell(event, request)

    def _allows_second_copy(self, class_index: int) -> bool:
        """Whether two attempts of a request may run at once."""
        settings = self.config.settings
        return settings.second_copies and settings.classes[class_index].effect is io.Idempotency.SAFE

    def _leave(self, request: OpenRequest) -> None:
        """Its client is gone: nothing begins for it any more."""
        if not request.is_finished:
            self.checks.count("requests_left")
            self.requests.finish(request)
            self._tell(io.ClientDisconnected(request.number))

    def _ended(self, end: Ended) -> None:
        attempt = end.attempt
        request = attempt.request
        check_first_byte(attempt, self.checks)
        self.checks.count(f"attempts_ended_{end.ending.name.lower()}")
        if request.is_cancelled:  # heard before its Left, which may stand behind much else
            self._leave(request)
        event = make_attempt_completed(attempt, end)
        if self.overrides is not None:
            self.overrides.on_attempt_completed(attempt, end.note)
        if end.ending is AttemptOutcome.OK and not request.is_finished:
            self._answer(Answer(request, 200, end.body, end.still))
        elif end.body is not None:
            end.body.release()
        self.requests.remove_if_done(request)
        self._tell(event, request)

    def _news(self, event: ChangeEvent, scope: UpdateScope, unread_before: int = 0) -> None:
        if self.overrides is not None:
            self.overrides.on_change_log_read(event.seq, isinstance(event, FleetChange))
        self.dates.observe(event)
        self._date_starts_again()
        if isinstance(event, PurgeRecord):
            self._tell(make_object_purged(event, self.dates.age_of(event, unread_before)))
            self._recall(event)
        elif isinstance(event, FleetChange):
            if event.is_full_list and scope is UpdateScope.CHANGES:
                scope = UpdateScope.FULL
            try:
                news = self.directory.apply(event, scope)
            except ProtocolError as error:
                self.checks.event("change_log_record_invalid", str(error))
                return
            for host in event.hosts:
                for fault in host.address_errors:
                    self.checks.event("endpoint_address_invalid", f"{host.host}: {fault}")
            self.standing = self.standing or event.is_full_list
            self._list_changed(news)
            if event.is_full_list:
                self.fleet.follow_all()
            else:
                self.fleet.follow_changes(machine.number for machine in news.endpoints)
        elif isinstance(event, InvalidRecord):
            self.checks.event("change_log_record_invalid", event.reason)

    def _date_starts_again(self) -> None:
        """Tell the router of starts that a later date of the log shows to be earlier."""
        machines = self.directory.date_again(self.dates.take_unsettled_starts())
        if machines:
            self._list_changed(io.EndpointUpdate(UpdateScope.CHANGES, machines))

    def _list_changed(self, news: io.EndpointUpdate) -> None:
        self.told_of_list(news if self.overrides is None else self.overrides.override_list(news))

    def told_of_list(self, news: io.EndpointUpdate) -> None:
        """News of the list, as the module is to have it."""
        self._recall_from(news)
        self._tell(news)

    def _recall(self, purge: PurgeRecord) -> None:
        """What was decided before this purge and is not written yet goes back to the module."""
        for request in list(self.requests.request_by_number.values()):
            if request.object_id == purge.object or (purge.object is None and request.group == purge.group):
                for attempt in request.attempts:
                    self.take_back(attempt)

    def _recall_from(self, news: io.EndpointUpdate) -> None:
        """So does what is for a machine told to drain or be gone, or names it as the source."""
        listed = {m.number: m.state for m in news.endpoints}
        leaving = {cache for cache, state in listed.items() if state is not io.EndpointState.READY}
        if news.scope is not UpdateScope.CHANGES:
            leaving |= self.caches.keys() - listed.keys()
        if leaving:
            for request in list(self.requests.request_by_number.values()):
                for attempt in request.attempts:
                    if attempt.cache in leaving or attempt.source in leaving:
                        self.take_back(attempt)

    def take_back(self, attempt: OpenAttempt) -> None:
        """From now on its first byte does not go out; where one has, that is of no effect."""
        if not attempt.is_ended and (cache := self.caches.get(attempt.cache)) is not None:
            attempt.revoke(clock.now())
            cache.mailbox.push(Recall(attempt))

    def follow_addresses(self, section: AddressesSection) -> None:
        """The operators tell other addresses or limits: they hold from the next dial on."""
        if self.shared.dialer is not None:
            self.shared.dialer.configure(section)
            self.fleet.follow_all(anew=True)

    def _askers(self, site: str) -> int:
        settings = self.config.settings
        return fronts_that_ask(settings.fronts, settings.fronts_by_zone, self.directory.zone_by_name[site])

    # Actions

    def _perform(self, action: io.Action, now: int) -> None:
        match action:
            case io.ForwardRequest() | io.FetchThrough():
                self._send(action, now)
            case io.CancelAttempt(number, no):
                request = self.requests.request_by_number.get(number)
                if request is not None and no < len(request.attempts) and not request.attempts[no].is_ended:
                    attempt = request.attempts[no]
                    if (cache := self.caches.get(attempt.cache)) is not None:
                        cache.mailbox.push(CallOff(attempt))
            case io.RejectRequest(number, retry_after):
                if (request := self._owed(number)) is not None:
                    self._answer(Answer(request, 503, wait_ms=retry_after // clock.MS or None))
            case io.FailRequest(number):
                if (request := self._owed(number)) is not None:
                    self._answer(Answer(request, 502))
            case io.SetTimer(wait, token, about):
                self.timers.set(now + max(wait, 0), (token, about))
            case io.SendHealthCheck(machine):
                if machine in self.caches:
                    self.caches[machine].mailbox.push(Check(self.config.report_on_probe))
            case io.WatchEndpoints():
                whole = self.directory.full_list()
                self.later.append(whole if self.overrides is None else self.overrides.override_list(whole))
            case io.WriteLog(text):
                logger.bind(event="router", detail=(named := self._named(text))).info("router: {}", named)

    def _named(self, text: str) -> str:
        """A log line of the module with host ids in place of its numbers."""
        return " ".join(
            self.directory.host_by_number.get(int(w), w) if w.isdecimal() else w for w in text.split(" ")
        )

    def _owed(self, number: int) -> OpenRequest | None:
        request = self.requests.request_by_number.get(number)
        return request if request is not None and not request.is_finished else None

    def _send(self, action: io.ForwardRequest | io.FetchThrough, now: int) -> None:
        request = self._owed(action.request)
        if not self.checks.must(request is not None, "no_attempt_after_final_answer"):
            return
        assert request is not None
        source = action.source if isinstance(action, io.FetchThrough) else -1
        attempt = self.requests.start_attempt(request, action.cache, now, source)
        self.checks.count("attempts_retried" if attempt.number else "attempts_first")
        attempt.first_byte_deadline_ns = now + action.first_byte_within if action.first_byte_within else 0
        left = request.time_left(now)
        timeout = min(action.timeout, left) if action.timeout else left
        attempt.deadline_ns = now + timeout
        cache = self.caches.get(action.cache)
        if cache is None or len(request.attempts) > self.config.settings.attempts:
            attempt.is_ended = True
            self.mailbox.push(Ended(attempt, AttemptOutcome.NOT_PROCESSED, now))
            return
        if self.overrides is not None:
            self.overrides.on_command_sent(attempt, now)
        fields = tuple(make_serve_fields(action, request, self.directory, timeout))
        cache.mailbox.push(Send(attempt, ServeCommand(request.job_id, fields, request.body)))

    def _answer(self, answer: Answer) -> None:
        request = answer.request
        if self.checks.must(not request.is_finished, "one_final_answer_per_request"):
            if self.overrides is not None:
                self.overrides.on_response(request, answer.status)
            self.requests.finish(request)
            self.checks.count(f"responses_{answer.status}")
            request.receiver.push(answer)
        elif answer.body is not None:
            answer.body.release()

    def _fail(self, request: OpenRequest | None) -> None:
        """After an exception: a failure, as what has run is not known."""
        if request is not None and not request.is_finished:
            self._answer(Answer(request, 500))

    def spoiled(self, message: ToModule) -> None:
        if isinstance(message, Came):
            self._fail(message.request)
        elif isinstance(message, Ended):
            self._fail(message.attempt.request)

    # Upkeep

    def sweep(self, now: int, late: bool) -> None:
        self.fleet.sweep(now, late)

    def fail_open(self) -> None:
        """The process ends: what is still open is answered as failed, and the module told no more."""
        for request in [r for r in self.requests.request_by_number.values() if not r.is_finished]:
            self._answer(Answer(request, 502))

"""The router: passes each event to its components in a fixed order and collects their actions."""

from collections.abc import Callable

from quincepier import interface
from quincepier.context import TIMER_KIND_BITS, Context, HomeLookup, RouterComponent, TimerKind
from quincepier.policy.admission import Admission
from quincepier.policy.early_rejection import EarlyRejection
from quincepier.policy.fetch_limit import FetchLimit
from quincepier.policy.freshness import Freshness
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.outliers import OutlierDetection
from quincepier.policy.periodic_timers import OVERDUE_INTERVAL, PeriodicTimers
from quincepier.policy.placement import Placement
from quincepier.policy.responses import Responder
from quincepier.policy.retries import Retries
from quincepier.policy.sending import AttemptSender
from quincepier.policy.slow_start import SlowStart
from quincepier.records import SECOND, AttemptTable, Completion, Execution, Request, Upstream
from quincepier.recovery import RecoveryTracker
from quincepier.structures import Coverage, FairQueue, assign_tiers

TIER_WEIGHTS = (80.0, 15.0, 5.0)  # shares of the releases from the hold queue, highest tier first
BOOST_EVERY = 10  # number of held requests for one key that raises the weight of its tier by one
FLOOR_INTERVAL = SECOND  # ns; a tier without a release for this long goes first
SCAN_LIMIT = 16  # held keys of a tier that are examined per release
MIN_FIRST_RESPONSES = 8  # successful responses of all classes before the front counts as responding
MIN_PROCESS_PAUSE = 2 * SECOND  # ns; from this length on, a process pause lowers the fetch limit
NEVER_RAN = frozenset(  # outcomes which prove that the attempt was not executed
    (
        interface.AttemptOutcome.OVERLOADED,
        interface.AttemptOutcome.CONNECT_FAILED,
        interface.AttemptOutcome.NOT_PROCESSED,
        interface.AttemptOutcome.MISS,
    )
)


class Router(RouterComponent):
    """Decides on requests. The decisions themselves are made by its components.

    Args:
        settings: Settings of the deployment.
        seed: Seed of the random numbers.
        now: Start time, ns.

    Attributes:
        find_home: Called once for each request, returns its home shard; None: no request has a home shard.
        expiries: Times at which restored facts expire, ns, in ascending order, each with the function that
            discards the fact.
        response_coverage: Whether each request class that was requested has had a response since the start.
        requests: The requests without a final response, by id.
        tiers: The tier of each request class, 0 the highest.
    """

    def __init__(self, settings: interface.Settings, seed: int, now: int) -> None:
        super().__init__(Context(settings, seed, now))
        context = self.context
        self.recovery = RecoveryTracker(now)
        self.response_coverage = Coverage(MIN_FIRST_RESPONSES)
        self.queue = FairQueue[Request](TIER_WEIGHTS, now, BOOST_EVERY, FLOOR_INTERVAL, SCAN_LIMIT)
        self.attempts = AttemptTable()
        self.timers = PeriodicTimers(context, self.queue, self.attempts)
        self.latency = LatencyEstimates(context)
        self.slow_start = SlowStart(context, self.latency)
        self.outliers = OutlierDetection(context, self.latency, self._abandon)
        self.placement = Placement(context, self.latency, self.slow_start)
        self.freshness = Freshness(context)
        self.fetch_limit = FetchLimit(context, self.latency, self.recovery)
        self.sender = AttemptSender(
            context,
            self.attempts,
            self.placement,
            self.slow_start,
            self.outliers,
            self.freshness,
            self.fetch_limit,
            self.timers,
        )
        self.responder = Responder(context, self.latency, self.recovery, self.queue, self.sender)
        self.requests = self.responder.requests
        self.admission = Admission(
            context,
            self.queue,
            self.latency,
            self.placement,
            self.fetch_limit,
            self.sender,
            self.responder,
            self.timers,
        )
        self.retries = Retries(
            context,
            self.latency,
            self.placement,
            self.fetch_limit,
            self.sender,
            self.admission,
            self.responder,
        )
        tier_by_worth = assign_tiers(
            {c.worth for c in settings.classes if not c.never_kept}, len(TIER_WEIGHTS)
        )
        self.tiers = [tier_by_worth.get(c.worth, 0) for c in settings.classes]
        self.early_rejection = EarlyRejection(context, self.tiers)
        self.find_home: HomeLookup | None = None
        self.expiries = list[tuple[int, Callable[[], None]]]()

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Handle an event that arrives at `now` (ns); return the actions to take, in order."""
        self.context.now = now
        self.context.actions = []
        self._forget_expired()
        match event:
            case interface.RequestReceived():
                self.on_request(event)
            case interface.AttemptCompleted():
                self.on_attempt_completed(event)
            case interface.TimerFired(token):
                self.on_timer(TimerKind(token & (1 << TIMER_KIND_BITS) - 1), token >> TIMER_KIND_BITS)
            case interface.EndpointUpdate():
                self.on_endpoint_update(event)
            case interface.ObjectPurged(group, obj, age):
                self.freshness.on_purge(group, obj, age)
            case interface.ResponseStarted():
                self.on_response_started(event)
            case interface.ResponseDelayed():
                self.on_response_delayed(event)
            case interface.ClientDisconnected(request_id):
                if (request := self.requests.get(request_id)) is not None:
                    self.responder.close(request)
        return self.context.actions

    def _forget_expired(self) -> None:
        """Forget the facts that have expired, before a decision uses them."""
        while self.expiries and self.expiries[0][0] <= self.context.now:
            _, forget = self.expiries.pop(0)
            forget()

    def on_request(self, event: interface.RequestReceived) -> None:
        """Route a request, or reject it early if it has waited too long or has too little time left."""
        context = self.context
        settings = context.settings
        cls = settings.classes[event.class_index]
        self.response_coverage.expected.add(event.class_index)
        is_overloaded = self.early_rejection.should_reject(event)
        if is_overloaded or event.time_left <= settings.step:
            self.responder.reject(event.request)
            context.log(self.recovery.on_request_finished(context.now, cls.worth, False))
            return
        home = self.find_home(event) if self.find_home is not None else None
        request = Request(event, settings, self.tiers[event.class_index], context.now, home)
        self.requests[event.request] = request
        self.retries.on_request()
        context.set_timer(event.time_left - settings.step, TimerKind.DEADLINE, event.request)
        if home is not None and home.is_write_paused and cls.effect is not interface.Idempotency.SAFE:
            self.responder.give_up(request)
        else:
            self.admission.route(request)

    def on_endpoint_update(self, update: interface.EndpointUpdate) -> None:
        """Apply an update of the endpoint list; if the list could not be read, request it again later."""
        if update.scope is interface.UpdateScope.FAILED:
            self.context.set_timer(SECOND, TimerKind.ENDPOINT_LIST_RETRY)
        if update.scope is interface.UpdateScope.RESTORED and self.context.settings.list_on_request:
            self.context.watch_endpoints()
        for upstream in self.placement.update(update).removed:
            self.sender.abandon(upstream)
        self.context.log(self.recovery.on_list_received(self.context.now))

    def on_response_started(self, event: interface.ResponseStarted) -> None:
        """Cancel the other attempts of a request whose response has started."""
        request = self.requests.get(event.request)
        if request is not None:
            self.sender.cancel(a for a in request.open_attempts.values() if a.number != event.attempt)
            request.has_response_started = True

    def on_response_delayed(self, event: interface.ResponseDelayed) -> None:
        """Note that the upstreams of an attempt respond, though its response waits for buffers."""
        attempt = self.attempts.get((event.request, event.attempt))
        if attempt is not None:
            self.outliers.on_response_delayed(attempt)

    def on_attempt_completed(self, event: interface.AttemptCompleted) -> None:
        """Learn from a completed attempt; close, retry or give up its request."""
        attempt = self.attempts.complete(event)
        if attempt is None:
            return
        completion = Completion(attempt, event)
        request = attempt.request
        self._learn(completion)
        if completion.is_ok and self.response_coverage.add(request.event.class_index):
            self.context.log(self.recovery.on_first_responses(self.context.now, self.response_coverage.count))
        first = request.first_execution
        if event.outcome not in NEVER_RAN and (first is None or attempt.sent_at < first.sent_at):
            request.first_execution = Execution(attempt.sent_at, attempt.upstream.endpoint)
        if self.requests.get(event.request) is request:
            if event.is_request_finished:
                self.responder.close(request, completion.is_ok)
            elif not completion.is_ok and not request.open_attempts:
                self.retries.on_failure(completion)
        self.admission.release()

    def _learn(self, completion: Completion) -> None:
        self.outliers.on_completed(completion)
        self.slow_start.refund_source(completion)
        if completion.is_ok:
            self.slow_start.on_served(completion)
        self.fetch_limit.link_load.on_completed(self.context.now, completion)
        self.latency.learn_slowness(completion)
        if completion.is_from_cache:
            self.placement.on_hit(completion)
            slowdown = self.slow_start.slowdown(completion.attempt.upstream)
            self.latency.learn_transfer_time(completion, slowdown)
        if completion.attempt.is_fetch:
            self.fetch_limit.on_completed(completion, is_awaited=bool(self.queue))

    def on_timer(self, kind: TimerKind, request_id: int) -> None:
        """Handle a timer; `request_id` is used by the kinds of timer that belong to a request."""
        request = self.requests.get(request_id)
        match kind:
            case TimerKind.DEADLINE:
                if request is not None and not request.has_response_started:
                    self.responder.close(request)
                    self.context.fail(request_id)
            case TimerKind.QUEUE_TIMEOUT:
                if request is not None and request.is_queued:
                    self.admission.on_hold_expired(request)
            case TimerKind.ENDPOINT_LIST_RETRY:
                self.context.watch_endpoints()
            case TimerKind.QUEUE_RELEASE:
                self.timers.release.on_fired()
                self.admission.release()
            case TimerKind.OVERDUE_CHECK:
                self.check_overdue(self.timers.overdue.on_fired())

    def check_overdue(self, delay: int) -> None:
        """Check for overdue attempts; after a long process pause, lower the fetch limit and restart recovery.

        Args:
            delay: How late the timer of this check fired, ns.
        """
        now = self.context.now
        if delay >= MIN_PROCESS_PAUSE and self.response_coverage.is_complete:
            self.response_coverage.restart()
            self.fetch_limit.on_process_pause()
            self.context.log(self.recovery.on_process_pause(now, delay))
        if not self.queue:
            self.context.log(self.recovery.on_limit_idle(now))
        self.slow_start.learn_sizes(self.placement.table.by_kind)
        self.placement.update_weights()
        if delay <= OVERDUE_INTERVAL:  # after a process pause responses may be waiting to be read
            self.outliers.check_overdue(self.attempts.values())
        self.timers.schedule()

    def _abandon(self, upstream: Upstream) -> None:
        self.sender.abandon(upstream)

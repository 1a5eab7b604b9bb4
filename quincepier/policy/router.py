"""The router: hears each event and has its parts act, in one order."""

from collections.abc import Callable

from quincepier import interface as io
from quincepier.context import TIMER_KIND_BITS, Context, HomeLookup, Part, TimerKind
from quincepier.policy.admission import Admission
from quincepier.policy.early_refusal import EarlyRefusal
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
from quincepier.structures import Coverage, FairQueue, tiers

TIER_WEIGHTS = (80.0, 15.0, 5.0)  # shares of releases, highest tier first (design)
BOOST_EVERY = 10  # held requests for one object that add one to its weight (design)
FLOOR_INTERVAL = SECOND  # ns; a tier that none left for so long goes first (design)
SCAN_LIMIT = 16  # held objects of a tier that are looked through
FIRST_ANSWERS = 8  # of all classes
PROCESS_PAUSE = 2 * SECOND  # ns that the process stood still, after which all is found anew
NEVER_RAN = frozenset(  # outcomes that prove it
    (
        io.AttemptOutcome.OVERLOADED,
        io.AttemptOutcome.CONNECT_FAILED,
        io.AttemptOutcome.NOT_PROCESSED,
        io.AttemptOutcome.MISS,
    )
)


class Router(Part):
    """Decides on requests by the events that it is told, and never by another way than its parts.

    Args:
        settings: Of the deployment.
        seed: Of all chance.
        now: The time, ns.

    Attributes:
        find_home: Asked once for each request where it is at home; None: all are anywhere.
        expiries: When restored facts expire, in the order of time, and what forgets each.
    """

    def __init__(self, settings: io.Settings, seed: int, now: int) -> None:
        super().__init__(Context(settings, seed, now))
        context = self.context
        self.recovery = RecoveryTracker(now)
        self.answers = Coverage(FIRST_ANSWERS)
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
        tier_by_worth = tiers({c.worth for c in settings.classes if not c.never_kept}, len(TIER_WEIGHTS))
        self.tiers = [tier_by_worth.get(c.worth, 0) for c in settings.classes]
        self.early_refusal = EarlyRefusal(context, self.tiers)
        self.find_home: HomeLookup | None = None
        self.expiries = list[tuple[int, Callable[[], None]]]()

    def handle(self, now: int, event: io.Event) -> list[io.Action]:
        """Return what to do as an event is told at a time, ns."""
        self.context.now = now
        self.context.actions = []
        while self.expiries and self.expiries[0][0] <= now:  # before anything rests on it
            _, forget = self.expiries.pop(0)
            forget()
        match event:
            case io.RequestReceived():
                self.on_request(event)
            case io.AttemptCompleted():
                self.on_attempt_completed(event)
            case io.TimerFired(token):
                self.on_timer(TimerKind(token & (1 << TIMER_KIND_BITS) - 1), token >> TIMER_KIND_BITS)
            case io.EndpointUpdate():
                self.on_endpoint_update(event)
            case io.ObjectPurged(group, obj, ago):
                self.freshness.on_purge(group, obj, ago)
            case io.ResponseStarted():
                self.on_response_started(event)
            case io.ClientDisconnected(request_id):
                if (request := self.requests.get(request_id)) is not None:
                    self.responder.close(request)
        return self.context.actions

    def on_request(self, event: io.RequestReceived) -> None:
        """Route a request, or refuse it while that costs little."""
        context = self.context
        settings = context.settings
        cls = settings.classes[event.class_index]
        self.answers.asked.add(event.class_index)
        is_behind = self.early_refusal.is_due(event)
        if is_behind or event.time_left <= settings.step:
            self.responder.reject(event.request)
            context.log(self.recovery.on_request_finished(context.now, cls.worth, False))
            return
        home = self.find_home(event) if self.find_home is not None else None
        request = Request(event, settings, self.tiers[event.class_index], context.now, home)
        self.requests[event.request] = request
        self.retries.on_request()
        context.set_timer(event.time_left - settings.step, TimerKind.DEADLINE, event.request)
        if home is not None and home.is_write_paused and cls.effect is not io.Idempotency.SAFE:
            self.responder.give_up(request)
        else:
            self.admission.route(request)

    def on_endpoint_update(self, update: io.EndpointUpdate) -> None:
        """Take the endpoint list, or that it could not be read."""
        if update.scope is io.UpdateScope.FAILED:
            self.context.set_timer(SECOND, TimerKind.RELIST)
        if update.scope is io.UpdateScope.RESTORED and self.context.settings.list_on_request:
            self.context.watch_endpoints()
        for upstream in self.placement.update(update).removed:
            self.sender.abandon(upstream)
        self.context.log(self.recovery.on_list_received(self.context.now))

    def on_response_started(self, event: io.ResponseStarted) -> None:
        """The response of one attempt goes to the client: the others are cancelled."""
        request = self.requests.get(event.request)
        if request is not None:
            self.sender.cancel(a for a in request.open_attempts.values() if a.number != event.attempt)
            request.has_response_started = True

    def on_attempt_completed(self, event: io.AttemptCompleted) -> None:
        """Learn from an attempt; its request is answered, sent again or given up."""
        attempt = self.attempts.complete(event)
        if attempt is None:
            return
        completion = Completion(attempt, event)
        request = attempt.request
        self._learn(completion)
        if completion.is_ok and self.answers.add(
            request.event.class_index
        ):  # each class asked for was answered
            self.context.log(self.recovery.on_first_responses(self.context.now, self.answers.count))
        first = request.first_execution
        if event.outcome not in NEVER_RAN and (first is None or attempt.sent_at < first.at):
            request.first_execution = Execution(attempt.sent_at, attempt.upstream.endpoint)
        if self.requests.get(event.request) is request:
            if event.last:
                self.responder.close(request, completion.is_ok)
            elif not completion.is_ok and not request.open_attempts:
                self.retries.on_failure(completion)
        self.admission.release()

    def _learn(self, completion: Completion) -> None:
        self.outliers.on_completed(completion)
        self.slow_start.refund_source(completion)
        if completion.is_ok:
            self.slow_start.on_served(completion)
        self.fetch_limit.link.take(self.context.now, completion)
        self.latency.learn_slowness(completion)
        if completion.is_from_cache:
            self.placement.on_hit(completion)
            slowdown = self.slow_start.slowdown(completion.attempt.upstream)
            self.latency.learn_transfer_time(completion, slowdown)
        if completion.attempt.is_fetch:
            self.fetch_limit.on_completed(completion, is_awaited=bool(self.queue))

    def on_timer(self, kind: TimerKind, request_id: int) -> None:
        """A timer is due; `request_id` is of effect for those about a request."""
        request = self.requests.get(request_id)
        match kind:
            case TimerKind.DEADLINE:
                if request is not None and not request.has_response_started:
                    self.responder.close(request)
                    self.context.fail(request_id)
            case TimerKind.QUEUE_TIMEOUT:
                if request is not None and request.is_queued:
                    self.admission.end_hold(request)
            case TimerKind.RELIST:
                self.context.watch_endpoints()
            case TimerKind.RELEASE:
                self.timers.release.fired()
                self.admission.release()
            case TimerKind.OVERDUE_CHECK:
                self.check_overdue(self.timers.overdue.fired())

    def check_overdue(self, delay: int) -> None:
        """Look at what is overdue, so many ns late; after a long pause of the process begin anew."""
        now = self.context.now
        if delay >= PROCESS_PAUSE and self.answers.is_complete:
            self.answers.restart()
            self.fetch_limit.restart()
            self.context.log(self.recovery.on_process_pause(now, delay))
        if not self.queue:
            self.context.log(self.recovery.on_limit_idle(now))
        self.slow_start.learn_sizes(self.placement.table.by_kind)
        self.placement.reweigh()
        if delay <= OVERDUE_INTERVAL:  # else answers are still to come, as we stood still ourselves
            self.outliers.check_overdue(self.attempts.values())
        self.timers.schedule()

    def _abandon(self, upstream: Upstream) -> None:
        self.sender.abandon(upstream)

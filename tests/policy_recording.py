"""Records the streams of tests/data/policy from the present policy: `python -m tests.policy_recording`.

Run it only after a deliberate change of behaviour, and give the reason in the commit: refactorings are
compared with these streams. There are two sources: fronts of the laboratory in virtual time, and simulated
sites with random requests, machines and faults, which produce every event that a Router can receive.
Recording is deterministic.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any
from unittest import mock

from quincepier import interface as io
from quincepier.config import load_front
from quincepier.interface import (
    AttemptOutcome,
    CacheStatus,
    DeduplicationScope,
    EndpointState,
    Idempotency,
    UpdateScope,
)
from quincepier.lab import front as lab_front
from quincepier.lab.experiment import load
from quincepier.lab.world import World
from tests.policy_stream import RecordingRouter, write
from tests.rig import CACHES, MS, ORIGIN_ID, PARENTS, SECOND, make_class, make_settings

REPOSITORY = Path(__file__).parent.parent
START_TIME = 100 * SECOND
FAILURE_OUTCOMES = (
    AttemptOutcome.ERROR,
    AttemptOutcome.OVERLOADED,
    AttemptOutcome.RESET,
    AttemptOutcome.NOT_PROCESSED,
    AttemptOutcome.MISS,
    AttemptOutcome.CONNECT_FAILED,
)
FETCH_STATUSES = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN, CacheStatus.COLLAPSED)
FAULT_STATUSES = (
    CacheStatus.SOURCE_REFUSED,
    CacheStatus.SOURCE_BROKEN,
    CacheStatus.SOURCE_MISS,
    CacheStatus.NO_FETCH_SLOT,
    CacheStatus.ORIGIN_FAILED,
    CacheStatus.NONE,
)


@dataclass(frozen=True)
class Plan:
    """Parameters of a simulated site.

    Attributes:
        seconds: Duration, without the process pauses.
        request_rate: Requests per second.
        speed: Speed of the machines; 1 is usual.
        objects: Number of objects, and of objects that a cache can hold.
        fault_rate: Random machine faults per second.
        list_change_rate: Random changes of the endpoint list per second.
        odd_outcome_share: Share of the attempts with a random failure.
        has_home_shards: Whether requests of some tenants have a home shard.
        process_pauses: Time and duration of each process pause, in seconds.
        initial_faults: Machines that have a fault at the start, the fault, and its duration in seconds.
        requests_doubling_latency: Number of open attempts that doubles the latency.
        restart_times: Seconds after which the Router is replaced by a new one that restores the learned
            facts.
        has_known_sizes: Whether requests give the size of the response.
    """

    seed: int
    settings: io.Settings
    machines: tuple[io.Endpoint, ...]
    seconds: float = 30.0
    request_rate: float = 14.0
    speed: float = 1.0
    objects: int = 60
    fault_rate: float = 0.25
    list_change_rate: float = 0.2
    odd_outcome_share: float = 0.04
    has_home_shards: bool = False
    process_pauses: tuple[tuple[float, float], ...] = ()
    initial_faults: tuple[tuple[int, str, float], ...] = ()
    requests_doubling_latency: float = 12.0
    restart_times: tuple[float, ...] = ()
    has_known_sizes: bool = False


class SimulatedSite:
    """Plays a plan: responds to the actions of the Router like machines and clients, with further events."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.now, self.random = plan, START_TIME, random.Random(plan.seed)
        self.router = RecordingRouter(plan.settings, plan.seed, START_TIME)
        self.streams: list[list[str]] = []
        self.scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.schedule_count = self.request_count = 0
        # by request id; the list tells of each attempt whether it has completed
        self.open_requests: dict[int, tuple[io.RequestReceived, list[bool]]] = {}
        self.cached_keys: dict[int, set[tuple[int, int]]] = {}  # by machine
        self.fault_by_machine = {machine: fault for machine, fault, _ in plan.initial_faults}
        self.endpoint_by_id = {m.number: m for m in plan.machines}
        self.open_attempt_count = 0
        self.target_by_attempt: dict[tuple[int, int], tuple[int, int]] = {}  # machine and sending time
        self.completed_attempts: set[tuple[int, int]] = set()  # attempts whose completion was reported
        self.set_hooks()

    def set_hooks(self) -> None:
        if self.plan.has_home_shards:
            self.router.find_home = self.find_home
            self.router.sender.observer = lambda request, node, source: None

    def find_home(self, request: io.RequestReceived) -> io.HomeShard | None:
        if request.tenant == 0:
            return None
        parents = frozenset(PARENTS[: request.tenant])
        return io.HomeShard(
            request.tenant, frozenset(CACHES[:2]), parents, is_write_paused=request.tenant == 2
        )

    def play(self) -> list[list[str]]:
        plan = self.plan
        end = START_TIME + int((plan.seconds + sum(span for _, span in plan.process_pauses)) * SECOND)
        self.handle(io.EndpointUpdate(UpdateScope.RESTORED, plan.machines))
        self.schedule(0, self.receive_request)
        for change, rate in (
            (self.break_machine, plan.fault_rate),
            (self.change_endpoint_list, plan.list_change_rate),
        ):
            if rate:
                self.schedule(int(SECOND / rate), self.repeat_at_random, change, rate)
        for at, span in plan.process_pauses:
            self.schedule(int(at * SECOND), self.pause_process, int(span * SECOND))
        for machine, _, span in plan.initial_faults:
            self.schedule(int(span * SECOND), self.repair_machine, machine)
        for at in plan.restart_times:
            self.schedule(int(at * SECOND), self.restart_router)
        while self.scheduled and self.scheduled[0][0] <= end:
            at, _, step, arguments = heapq.heappop(self.scheduled)
            self.now = max(self.now, at)
            step(*arguments)
        self.router.export_learned()
        return [*self.streams, self.router.lines]

    def schedule(self, wait: int, step: Callable[..., None], *arguments: Any) -> None:
        self.schedule_count += 1
        heapq.heappush(self.scheduled, (self.now + max(wait, 0), self.schedule_count, step, arguments))

    def repeat_at_random(self, step: Callable[[], None], rate: float) -> None:
        step()
        self.schedule(int(self.random.expovariate(rate) * SECOND), self.repeat_at_random, step, rate)

    # Clients

    def receive_request(self) -> None:
        plan, chance = self.plan, self.random
        since = (self.now - START_TIME) / SECOND
        load_factor = 6.0 if since % 10 > 7 else 1.0
        self.schedule(int(chance.expovariate(plan.request_rate * load_factor) * SECOND), self.receive_request)
        self.request_count += 1
        cls = chance.randrange(len(plan.settings.classes))
        deadline = plan.settings.classes[cls].deadline
        waiting_share = 1.0 if since % 10 > 9 else 0.05  # in one second of ten all requests have waited
        waited = int(chance.expovariate(20) * SECOND) if chance.random() < waiting_share else 0
        time_left = (
            int(chance.uniform(0.5, 1) * deadline) if chance.random() < 0.97 else chance.randrange(3 * MS)
        )
        request = io.RequestReceived(
            self.request_count,
            cls,
            round(chance.lognormvariate(5, 1), 3) if plan.has_known_sizes else 0.0,
            chance.randrange(4) if plan.has_home_shards else 0,
            chance.randrange(4),
            1 + min(int(chance.expovariate(6 / plan.objects)), plan.objects),
            chance.randrange(3),
            chance.random() < 0.1,
            time_left,
            waited,
        )
        self.open_requests[request.request] = request, []
        if chance.random() < 0.03:
            self.schedule(chance.randrange(SECOND), self.disconnect_client, request.request)
        if chance.random() < 0.02:
            self.handle(io.HealthCheckCompleted(CACHES[0], AttemptOutcome.OK, MS, (1.0,)))
            self.handle(io.PeerMessage(1, b"\x00peer"))
        self.handle(request)

    def disconnect_client(self, number: int) -> None:
        if number in self.open_requests:
            self.close_request(number)
            self.handle(io.ClientDisconnected(number))

    def close_request(self, number: int) -> None:
        self.open_requests.pop(number, None)

    # Actions of the Router

    def handle(self, event: io.Event) -> None:
        for action in self.router.handle(self.now, event):
            match action:
                case io.ForwardRequest() | io.FetchThrough():
                    self.start_attempt(action)
                case io.CancelAttempt(number, attempt):
                    self.schedule(
                        MS, self.complete_attempt, number, attempt, AttemptOutcome.CANCELLED, CacheStatus.NONE
                    )
                case io.RejectRequest(number) | io.FailRequest(number):
                    self.close_request(number)
                case io.SetTimer(wait, token, request):
                    self.schedule(wait, self.fire_timer, token, request, len(self.streams))
                case io.WatchEndpoints():
                    failed = self.random.random() < 0.3
                    update = io.EndpointUpdate(UpdateScope.FAILED if failed else UpdateScope.FULL, ())
                    self.schedule(50 * MS, self.send_endpoint_update, update)

    def fire_timer(self, token: int, request: int, start: int) -> None:
        if start == len(self.streams) and (request < 0 or request in self.open_requests):
            self.handle(io.TimerFired(token))

    def send_endpoint_update(self, update: io.EndpointUpdate) -> None:
        is_full = update.scope is UpdateScope.FULL
        self.handle(replace(update, endpoints=tuple(self.endpoint_by_id.values())) if is_full else update)

    def start_attempt(self, action: io.ForwardRequest | io.FetchThrough) -> None:
        number, chance = action.request, self.random
        if number not in self.open_requests:  # its client disconnected meanwhile
            return
        request, completed = self.open_requests[number]
        attempt = len(completed)
        completed.append(False)
        self.target_by_attempt[number, attempt] = action.cache, self.now
        self.open_attempt_count += 1
        outcome, status, duration = self.choose_outcome(action, request)
        duration = min(duration, action.timeout) if duration else action.timeout
        outcome = AttemptOutcome.TIMEOUT if duration == action.timeout else outcome
        cls = self.plan.settings.classes[request.class_index]
        if cls.stream and outcome is AttemptOutcome.OK and chance.random() < 0.7:
            self.schedule(duration // 3, self.start_response, number, attempt, action.cache)
            duration *= 3
        self.schedule(duration, self.complete_attempt, number, attempt, outcome, status)

    def choose_outcome(
        self, action: io.ForwardRequest | io.FetchThrough, request: io.RequestReceived
    ) -> tuple[AttemptOutcome, CacheStatus, int]:
        """Outcome, cache status and duration of an attempt; duration 0: no response."""
        chance, key = self.random, (request.object, request.part)
        cached = self.cached_keys.setdefault(action.cache, set())
        source = action.source if isinstance(action, io.FetchThrough) else action.cache
        duration = int(
            chance.lognormvariate(0, 0.4)
            * 90
            * MS
            * (1 + self.open_attempt_count / self.plan.requests_doubling_latency)
            / self.plan.speed
        )
        fault = self.fault_by_machine.get(action.cache)
        if fault == "dead":
            return AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, MS
        if fault == "silent":
            return AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0
        if fault == "reset":
            return AttemptOutcome.RESET, CacheStatus.NONE, duration // 4 + 1
        if fault == "full":
            return AttemptOutcome.OVERLOADED, chance.choice(FAULT_STATUSES), MS
        duration = 8 * duration if fault == "slow" else duration
        if chance.random() < self.plan.odd_outcome_share:
            return chance.choice(FAILURE_OUTCOMES), chance.choice(FAULT_STATUSES), duration
        if isinstance(action, io.ForwardRequest):
            return AttemptOutcome.OK, chance.choice((CacheStatus.NONE, CacheStatus.FROM_ORIGIN)), duration
        if key in cached:
            return (
                AttemptOutcome.OK,
                CacheStatus.STALE if chance.random() < 0.1 else CacheStatus.HIT,
                duration,
            )
        if source == action.cache and source != ORIGIN_ID:
            return AttemptOutcome.MISS, CacheStatus.NONE, MS
        cached_at_source = self.cached_keys.setdefault(source, set())
        if action.held_only and key not in cached_at_source:
            return (
                (AttemptOutcome.MISS, CacheStatus.NONE, 2 * MS)
                if chance.random() < 0.7
                else (AttemptOutcome.OVERLOADED, CacheStatus.NONE, MS)
            )
        if source_fault := self.fault_by_machine.get(source):
            if source_fault == "refuses":
                return AttemptOutcome.OVERLOADED, CacheStatus.NONE, 20 * MS
            if source_fault == "silent":
                return AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0
            status_by_fault = {
                "dead": CacheStatus.SOURCE_REFUSED,
                "reset": CacheStatus.SOURCE_BROKEN,
                "full": CacheStatus.SOURCE_MISS,
            }
            if source_fault in status_by_fault:
                reported = status_by_fault[source_fault] if chance.random() < 0.7 else CacheStatus.NONE
                return chance.choice((AttemptOutcome.OVERLOADED, AttemptOutcome.ERROR)), reported, 5 * MS
            duration *= 6
        cached.add(key)
        cached_at_source.add(key)
        if len(cached) > self.plan.objects:
            cached.clear()
        return AttemptOutcome.OK, chance.choice(FETCH_STATUSES), duration + 60 * MS

    def start_response(self, number: int, attempt: int, cache: int) -> None:
        if number in self.open_requests and not self.open_requests[number][1][attempt]:
            self.handle(io.ResponseStarted(number, attempt, cache))

    def complete_attempt(
        self, number: int, attempt: int, outcome: AttemptOutcome, status: CacheStatus
    ) -> None:
        chance = self.random
        if number not in self.open_requests:
            if (number, attempt) not in self.completed_attempts:
                self.completed_attempts.add((number, attempt))
                self.open_attempt_count -= 1
                self.handle(self.make_completion(number, attempt, outcome, status, True))
            return
        completed = self.open_requests[number][1]
        if completed[attempt]:
            return
        completed[attempt] = True
        self.completed_attempts.add((number, attempt))
        self.open_attempt_count -= 1
        last = chance.random() < (0.995 if outcome is AttemptOutcome.OK else 0.01)
        if last:
            self.close_request(number)
        self.handle(self.make_completion(number, attempt, outcome, status, last))

    def make_completion(
        self, number: int, attempt: int, outcome: AttemptOutcome, status: CacheStatus, last: bool
    ) -> io.AttemptCompleted:
        chance, reports = self.random, self.plan.settings.reports
        cache, sent = self.target_by_attempt[number, attempt]
        has_report = chance.random() < 0.8 and outcome is AttemptOutcome.OK
        report = tuple(round(chance.expovariate(0.6), 2) for _ in reports) if has_report else ()
        waited = chance.randrange(300 * MS) if chance.random() < 0.1 else 0
        has_other_address = (
            outcome in (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED) and chance.random() < 0.2
        )
        elapsed = max(self.now - sent, 0)
        return io.AttemptCompleted(
            number, attempt, cache, outcome, elapsed, last, status, waited, report, has_other_address
        )

    # Faults and changes of machines and the front

    def break_machine(self) -> None:
        chance = self.random
        fault = chance.choice(("dead", "silent", "reset", "full", "slow", "slow"))
        machine = chance.choice([*CACHES, *CACHES, *PARENTS, *PARENTS, ORIGIN_ID])
        self.fault_by_machine[machine] = fault
        self.schedule(int(chance.uniform(1, 6) * SECOND), self.repair_machine, machine)
        if chance.random() < 0.3:
            obj = chance.randrange(2) and 1 + chance.randrange(self.plan.objects)
            self.handle(io.ObjectPurged(chance.randrange(4), obj, chance.randrange(2 * SECOND)))

    def repair_machine(self, machine: int) -> None:
        self.fault_by_machine.pop(machine, None)

    def change_endpoint_list(self) -> None:
        chance, endpoints = self.random, list(self.endpoint_by_id.values())
        if not endpoints:
            return
        endpoint = chance.choice(endpoints)
        match chance.choice(
            ("drain", "ready", "gone", "cold", "cold", "size", "new", "whole", "failed", "far")
        ):
            case "drain":
                endpoint = replace(endpoint, state=EndpointState.DRAINING)
            case "ready":
                endpoint = replace(endpoint, state=EndpointState.READY)
            case "gone":
                endpoint = replace(endpoint, state=EndpointState.GONE)
            case "cold":
                endpoint = replace(
                    endpoint, state=EndpointState.READY, started_at=self.now - chance.randrange(SECOND)
                )
                self.cached_keys.pop(endpoint.number, None)
            case "size":
                endpoint = replace(endpoint, size=round(chance.uniform(5, 60), 1))
            case "new":
                gone = [m for m in self.plan.machines if m.number not in self.endpoint_by_id]
                endpoint = replace(
                    chance.choice(gone or [replace(endpoints[0], number=104)]), started_at=self.now
                )
            case "whole":
                self.handle(io.EndpointUpdate(UpdateScope.FULL, tuple(endpoints)))
                return
            case "failed":
                self.handle(io.EndpointUpdate(UpdateScope.FAILED, ()))
                return
            case "far":
                endpoint = replace(endpoints[0], number=900 + chance.randrange(4), zone=7)
        if endpoint.state is EndpointState.GONE:
            self.endpoint_by_id.pop(endpoint.number, None)
        else:
            self.endpoint_by_id[endpoint.number] = endpoint
        self.handle(io.EndpointUpdate(UpdateScope.CHANGES, (endpoint,)))

    def pause_process(self, span: int) -> None:
        """The process does not run for a while; events that are due meanwhile are handled late."""
        self.now += span

    def restart_router(self) -> None:
        """A new process restores the facts that the old one exported; its clients have disconnected."""
        facts = self.router.export_learned()
        self.streams.append(self.router.lines)
        self.open_requests.clear()
        self.open_attempt_count = 0
        self.now += int(self.random.uniform(0.3, 3) * SECOND)
        seed = self.plan.seed + len(self.streams)
        self.router = RecordingRouter(self.plan.settings, seed, self.now)
        self.set_hooks()
        self.handle(io.EndpointUpdate(UpdateScope.RESTORED, tuple(self.endpoint_by_id.values())))
        age = None if len(self.streams) % 2 else self.random.randrange(5 * SECOND)
        self.router.restore_learned(facts, age)
        fronts = self.plan.settings.fronts + len(self.streams)
        self.router.change_settings(replace(self.plan.settings, fronts=fronts, attempts=4))


def machines(settings: io.Settings, size: float = 30.0) -> tuple[io.Endpoint, ...]:
    """Three caches of the zone, two parents, the origin; their kinds follow from the settings."""
    edge = next(kind for kind in range(3) if kind not in (settings.parent_kind, settings.origin_kind))
    edges = tuple(io.Endpoint(c, edge, settings.zone, c % 2, size, 0, EndpointState.READY) for c in CACHES)
    parents = tuple(
        io.Endpoint(p, settings.parent_kind, 0, p, 2 * size, 0, EndpointState.READY)
        for p in PARENTS
        if settings.parent_kind >= 0
    )
    return (
        *edges,
        *parents,
        io.Endpoint(ORIGIN_ID, settings.origin_kind, 0, 0, size, 0, EndpointState.READY),
    )


EIGHT_CLASSES = tuple(
    make_class(worth=worth, on_time=on_time * MS, **more)
    for worth, on_time, more in (
        (4.0, 700, {"effect": Idempotency.UNSAFE, "never_kept": True}),
        (3.0, 500, {"effect": Idempotency.KEYED, "group": DeduplicationScope.ZONE, "window": 2 * SECOND}),
        (3.0, 600, {"effect": Idempotency.KEYED, "group": DeduplicationScope.ALL}),
        (2.0, 500, {"effect": Idempotency.KEYED, "group": DeduplicationScope.CELL}),
        (2.0, 500, {"effect": Idempotency.UNSAFE}),
        (2.0, 900, {"stream": True}),
        (1.0, 250, {"fresh": 12 * SECOND, "grace": 10 * SECOND}),
        (0.5, 400, {"fresh": 4 * SECOND, "deadline": 2 * SECOND}),
    )
)  # fmt: skip
THREE_CLASSES = (
    make_class(worth=2.0),
    make_class(on_time=250 * MS, fresh=12 * SECOND, grace=10 * SECOND),
    make_class(worth=0.3, on_time=400 * MS),
)


def plans() -> dict[str, Plan]:
    example = load_front({}, str(REPOSITORY / "deploy" / "example.json")).settings
    every = make_settings(classes=EIGHT_CLASSES, reports=("load", "link"), client_kb_per_s=0.0)
    unsized = make_settings(
        classes=EIGHT_CLASSES[1:],
        sizes_compare=False,
        list_on_request=True,
        second_copies=False,
        cancel=False,
        joins=False,
        fronts=1,
        fronts_by_zone=(),
        client_kb_per_s=0.0,
    )
    alone = make_settings(fronts=1, fronts_by_zone=(0, 1), classes=THREE_CLASSES)
    crowd = make_settings(fronts=400, fronts_by_zone=(0, 200), classes=EIGHT_CLASSES)
    few = make_settings(fronts=6, fronts_by_zone=(0, 3), classes=THREE_CLASSES)
    bare = make_settings(parent_kind=-1, direct=False, retry_after=False, classes=EIGHT_CLASSES[1:])
    plain = replace(unsized, classes=(make_class(on_time=100 * MS, stretch=0.3), *EIGHT_CLASSES[5:]))
    long = tuple(replace(cls, on_time=60 * SECOND, deadline=90 * SECOND) for cls in THREE_CLASSES)
    wide = replace(alone, classes=long)
    silent = tuple((cache, "silent", 4.0) for cache in CACHES)
    refused = (*((source, "refuses", 10.0) for source in (*PARENTS, ORIGIN_ID)), (CACHES[0], "dead", 34.0))
    return {
        "classes": Plan(11, every, machines(every), has_home_shards=True, seconds=22),
        "example": Plan(
            12, example, machines(example), request_rate=9, process_pauses=((9, 2.5), (20, 4)), seconds=27
        ),
        "unsized": Plan(13, unsized, machines(unsized, 1.0), seconds=11, request_rate=24, objects=20),
        "alone": Plan(
            14, alone, machines(alone, 9.0), seconds=14, request_rate=16, objects=400, has_known_sizes=True
        ),
        "crowd": Plan(
            15, crowd, machines(crowd), seconds=28, request_rate=4, list_change_rate=1.0, objects=10
        ),
        "bare": Plan(16, bare, machines(bare), seconds=14, request_rate=12, initial_faults=silent),
        "restart": Plan(
            17,
            every,
            machines(every),
            seconds=30,
            request_rate=9,
            restart_times=(9, 18),
            process_pauses=((25, 58), (85, 700)),
        ),
        "calm": Plan(
            18,
            alone,
            machines(alone),
            seconds=10,
            request_rate=24,
            objects=5,
            fault_rate=0,
            list_change_rate=0,
            odd_outcome_share=0.0,
        ),
        "wide": Plan(
            19,
            wide,
            machines(wide, 400.0),
            seconds=10,
            request_rate=50,
            objects=4000,
            fault_rate=0,
            list_change_rate=0,
            odd_outcome_share=0.07,
            speed=0.1,
            requests_doubling_latency=1e9,
        ),
        "refused": Plan(
            20,
            few,
            machines(few),
            request_rate=7,
            objects=300,
            fault_rate=0,
            list_change_rate=0,
            initial_faults=refused,
            seconds=38,
        ),
        "churn": Plan(
            21,
            few,
            machines(few),
            seconds=44,
            request_rate=3.5,
            fault_rate=1.2,
            list_change_rate=0.3,
            odd_outcome_share=0.3,
            objects=9,
        ),
        "plain": Plan(
            22,
            plain,
            machines(plain, 1.0),
            seconds=16,
            request_rate=10,
            fault_rate=0,
            list_change_rate=0.12,
            odd_outcome_share=0.01,
        ),
        "hot": Plan(
            23,
            wide,
            machines(wide, 400.0),
            seconds=2.5,
            request_rate=180,
            objects=12,
            fault_rate=0,
            list_change_rate=0,
            odd_outcome_share=0.02,
            speed=0.1,
            requests_doubling_latency=1e9,
        ),
    }


def record_lab(name: str, variant: str, seed: int, front: int) -> list[list[str]]:
    """The streams of one front in an experiment, one for each of its starts."""
    experiment = load(str(REPOSITORY / "experiments" / f"{name}.yaml"))
    chosen = next(v for v in experiment.variants if v.name == variant)
    made = list[RecordingRouter]()

    def make(settings: io.Settings, number: int, now: int) -> RecordingRouter:
        made.append(RecordingRouter(settings, number, now))
        return made[-1]

    def take(router: RecordingRouter, facts: Iterable[io.Learned], age: int | None) -> int:
        return router.restore_learned(list(facts), age)

    hooks: dict[str, Any] = {
        "Router": make,
        "export_facts": RecordingRouter.export_learned,
        "restore_facts": take,
    }
    with mock.patch.multiple(lab_front, **hooks):
        World(experiment, chosen, seed).run()
    first = (seed * 1000 + front) * 100  # seeds of the starts of this front
    return [router.lines for router in made if first <= router.seed < first + 100]


def record_killed_cold() -> list[list[str]]:
    return record_lab("killed-cold", "state kept", seed=2, front=2)


def record_bad_day() -> list[list[str]]:
    return record_lab("bad-day", "no second copies", seed=1, front=1)


def main() -> None:
    for name, plan in plans().items():
        for start, lines in enumerate(SimulatedSite(plan).play()):
            write(f"site-{name}-{start}", lines)
    for name, streams, max_lines in (
        ("bad-day", record_bad_day(), 1200),
        ("killed-cold", record_killed_cold(), 1000),
    ):
        for start, lines in enumerate(streams):
            write(f"lab-{name}-{start}", lines[:max_lines])


if __name__ == "__main__":
    main()

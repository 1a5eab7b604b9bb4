"""Statistics of a run: worth requested and served by second and class, refusals, fetches and origin load."""

from __future__ import annotations

from collections import Counter

import msgspec

from quincepier.lab.experiment import MS, SECOND, Experiment
from quincepier.lab.recovery_metrics import RecoveryMetrics
from quincepier.lab.rule_checker import RuleChecker

LATE_WORTH = 0.1  # share of the worth of a response after its wanted time and within its deadline
STALE_WORTH = 0.5
START = 1000 * SECOND


class Figures(msgspec.Struct, frozen=True):
    """The figures of a run as stored. `worth` is the served share of the requested worth."""

    worth: float
    worst_second: float
    served: int
    late: int
    refused: int
    failed: int
    fills: int
    fetches: int
    p50_ms: float
    p99_ms: float
    by_class: dict[str, dict[str, int]]
    seconds: tuple[float, ...]  # served share of the requested worth, by second
    marks: tuple[tuple[float, str], ...]
    stampede: dict[str, float]  # stampede factor by event, after a fault on fronts
    stampede_worst: dict[str, float]  # by event: greatest factor of any machine
    after_restarts: dict[str, int]  # events of restarted fronts until a second after their return
    usual: dict[str, float]  # events per second before the first fault
    full_service_s: float | None  # since the last return; None: never, or no front returned
    cold_strain: float  # greatest load of a cold machine, as a share of the load that crashes it
    broken: int
    rules: dict[str, int]  # number of checks by rule
    first_broken: tuple[str, ...]
    events: int
    digest: str


class Tally:
    """Collects the statistics of one run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.worth_asked, self.worth_served = Counter[int](), Counter[int]()
        self.by_class: dict[str, Counter[str]] = {
            request_class.name: Counter() for request_class in experiment.classes
        }
        self.fills = self.fetches = 0
        self.latencies: list[int] = []
        self.marks: list[tuple[float, str]] = []
        self.figures: Figures | None = None
        self.recovery = RecoveryMetrics(START)

    def _second(self, now: int) -> int:
        return (now - START) // SECOND

    def on_request(self, now: int, cls: int) -> None:
        """A client sent a new request."""
        request_class = self.experiment.classes[cls]
        self.worth_asked[self._second(now)] += int(request_class.worth * 1000)
        self.by_class[request_class.name]["asked"] += 1

    def on_retry(self, now: int, cls: int, status: str) -> None:
        """A request was not served, and its client retries it."""
        self.by_class[self.experiment.classes[cls].name][f"{status}, again"] += 1

    def on_request_finished(self, now: int, cls: int, status: str, latency: int, stale: bool) -> None:
        """A request is finished, `latency` ns after its first try."""
        request_class = self.experiment.classes[cls]
        counts, wanted = (
            self.by_class[request_class.name],
            (request_class.wanted_ms + request_class.stretch * request_class.send_ms) * MS,
        )
        if status != "served":
            counts[status] += 1
            self.recovery.on_request_finished(now - latency, request_class.worth, 0.0)
            return
        late = latency > wanted
        counts["late" if late else "stale" if stale else "served"] += 1
        self.latencies.append(latency)
        worth_factor = LATE_WORTH if late else STALE_WORTH if stale else 1.0
        self.worth_served[self._second(now - latency)] += int(request_class.worth * 1000 * worth_factor)
        self.recovery.on_request_finished(
            now - latency, request_class.worth, request_class.worth * worth_factor
        )

    def on_fetch_started(self, now: int, at_origin: bool, source: int) -> None:
        """A cache started a fetch, from the origin or from a parent."""
        self.fills += 1
        if not at_origin:
            self.recovery.count("fills at parents", now, source)

    def on_origin_fetch(self, now: int) -> None:
        """The origin received a fetch."""
        self.fetches += 1
        self.recovery.count("work at the origin", now)

    def mark(self, now: int, event: str) -> None:
        """Record a fault for the report."""
        self.marks.append(((now - START) / SECOND, event))

    def finish(self, judge: RuleChecker, digest: str, events: int, strain: float = 0.0) -> None:
        """Compute the figures at the end of the run."""
        seconds = [
            self.worth_served[s] / self.worth_asked[s] if self.worth_asked[s] else 1.0
            for s in range(int(self.experiment.seconds))
        ]
        times = sorted(self.latencies) or [0]
        counts = Counter[str]()
        for counted in self.by_class.values():
            counts += counted
        asked = sum(self.worth_asked.values()) or 1
        end = START + int(self.experiment.seconds * SECOND)
        factors = {event: self.recovery.stampede(event) for event in sorted(self.recovery.times_by_event)}
        worst = {
            event: self.recovery.worst_stampede(event)
            for event in sorted(self.recovery.times_by_event_and_machine)
        }
        usual = {event: self.recovery.usual_rate(event) for event in sorted(self.recovery.times_by_event)}
        self.figures = Figures(
            worth=round(sum(self.worth_served.values()) / asked, 6),
            worst_second=round(min(seconds, default=1.0), 6),
            served=counts["served"] + counts["stale"],
            late=counts["late"],
            refused=counts["refused"],
            failed=counts["failed"],
            fills=self.fills,
            fetches=self.fetches,
            p50_ms=times[len(times) // 2] / MS,
            p99_ms=times[min(len(times) * 99 // 100, len(times) - 1)] / MS,
            by_class={name: dict(sorted(counted.items())) for name, counted in self.by_class.items()},
            seconds=tuple(round(s, 4) for s in seconds),
            marks=tuple(self.marks),
            stampede={event: round(f, 3) for event, f in factors.items() if f is not None},
            stampede_worst={event: round(f, 3) for event, f in worst.items() if f is not None},
            after_restarts={
                event: self.recovery.after_restarts(event)
                for event in sorted(self.recovery.times_by_event_and_front)
            },
            usual={event: round(f, 3) for event, f in usual.items() if f is not None},
            full_service_s=self.recovery.time_to_full_service(end),
            cold_strain=round(strain, 4),
            broken=judge.violation_count,
            rules=dict(sorted(judge.check_count_by_rule.items())),
            first_broken=tuple(
                line for b in judge.violations[:3] for line in (f"{b.rule}: {b.reason}", *b.timeline)
            ),
            events=events,
            digest=digest,
        )

    def result(self) -> Figures:
        """Return the figures of the finished run."""
        if self.figures is None:
            raise RuntimeError("the run has not ended")
        return self.figures

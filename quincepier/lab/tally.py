"""What a run counts: worth served and asked, by second and by class; refusals, fills, load at the origin."""

from __future__ import annotations

from collections import Counter

import msgspec

from quincepier.lab.experiment import MS, SECOND, Experiment
from quincepier.lab.recovery_metrics import RecoveryMetrics
from quincepier.lab.rule_checker import RuleChecker

LATE_WORTH = 0.1  # of what comes past its wanted time and within its deadline
STALE_WORTH = 0.5
START = 1000 * SECOND


class Figures(msgspec.Struct, frozen=True):
    """The figures of a run, as they are kept. `worth` is the share of the worth asked that was served."""

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
    seconds: tuple[float, ...]  # served over asked, by second
    marks: tuple[tuple[float, str], ...]
    stampede: dict[str, float]  # by what is counted, where a front fell
    stampede_worst: dict[str, float]  # the same at the one machine where it is greatest
    after_restarts: dict[str, int]  # events by the fronts that fell, until a second after each one's return
    usual: dict[str, float]  # events a second before that
    full_service_s: float | None  # from the last return; None: never, or none came back
    cold_strain: float  # the most any cold machine was asked for, over what it stands
    broken: int
    rules: dict[str, int]  # how often each rule was looked at
    first_broken: tuple[str, ...]
    events: int
    digest: str


class Tally:
    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.worth_asked, self.worth_served = Counter[int](), Counter[int]()
        self.by_class: dict[str, Counter[str]] = {c.name: Counter() for c in experiment.classes}
        self.fills = self.fetches = 0
        self.latencies: list[int] = []
        self.marks: list[tuple[float, str]] = []
        self.figures: Figures | None = None
        self.recovery = RecoveryMetrics(START)

    def _second(self, now: int) -> int:
        return (now - START) // SECOND

    def on_request(self, now: int, cls: int) -> None:
        c = self.experiment.classes[cls]
        self.worth_asked[self._second(now)] += int(c.worth * 1000)
        self.by_class[c.name]["asked"] += 1

    def on_retry(self, now: int, cls: int, status: str) -> None:
        """Turned away; the client comes again."""
        self.by_class[self.experiment.classes[cls].name][f"{status}, again"] += 1

    def on_request_finished(self, now: int, cls: int, status: str, took: int, stale: bool) -> None:
        """A client's last word, so long after its first."""
        c = self.experiment.classes[cls]
        words, wanted = self.by_class[c.name], (c.wanted_ms + c.stretch * c.send_ms) * MS
        if status != "served":
            words[status] += 1
            self.recovery.on_request_finished(now - took, c.worth, 0.0)
            return
        late = took > wanted
        words["late" if late else "stale" if stale else "served"] += 1
        self.latencies.append(took)
        part = LATE_WORTH if late else STALE_WORTH if stale else 1.0
        self.worth_served[self._second(now - took)] += int(c.worth * 1000 * part)
        self.recovery.on_request_finished(now - took, c.worth, c.worth * part)

    def on_fetch_started(self, now: int, at_origin: bool, source: int) -> None:
        """A fill was begun at a cache, from the origin itself or from a parent."""
        self.fills += 1
        if not at_origin:
            self.recovery.count("fills at parents", now, source)

    def on_origin_fetch(self, now: int) -> None:
        self.fetches += 1
        self.recovery.count("work at the origin", now)

    def mark(self, now: int, what: str) -> None:
        self.marks.append(((now - START) / SECOND, what))

    def finish(self, judge: RuleChecker, digest: str, events: int, strain: float = 0.0) -> None:
        seconds = [
            self.worth_served[s] / self.worth_asked[s] if self.worth_asked[s] else 1.0
            for s in range(int(self.experiment.seconds))
        ]
        times = sorted(self.latencies) or [0]
        words = Counter[str]()
        for counted in self.by_class.values():
            words += counted
        asked = sum(self.worth_asked.values()) or 1
        end = START + int(self.experiment.seconds * SECOND)
        factors = {what: self.recovery.stampede(what) for what in sorted(self.recovery.times_by_event)}
        worst = {
            what: self.recovery.worst_stampede(what)
            for what in sorted(self.recovery.times_by_event_and_machine)
        }
        usual = {what: self.recovery.usual_rate(what) for what in sorted(self.recovery.times_by_event)}
        self.figures = Figures(
            worth=round(sum(self.worth_served.values()) / asked, 6),
            worst_second=round(min(seconds, default=1.0), 6),
            served=words["served"] + words["stale"],
            late=words["late"],
            refused=words["refused"],
            failed=words["failed"],
            fills=self.fills,
            fetches=self.fetches,
            p50_ms=times[len(times) // 2] / MS,
            p99_ms=times[min(len(times) * 99 // 100, len(times) - 1)] / MS,
            by_class={name: dict(sorted(counted.items())) for name, counted in self.by_class.items()},
            seconds=tuple(round(s, 4) for s in seconds),
            marks=tuple(self.marks),
            stampede={what: round(f, 3) for what, f in factors.items() if f is not None},
            stampede_worst={what: round(f, 3) for what, f in worst.items() if f is not None},
            after_restarts={
                what: self.recovery.after_restarts(what)
                for what in sorted(self.recovery.times_by_event_and_front)
            },
            usual={what: round(f, 3) for what, f in usual.items() if f is not None},
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
        if self.figures is None:
            raise RuntimeError("the run has not ended")
        return self.figures

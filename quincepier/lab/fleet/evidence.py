"""What all sides of a fleet saw, put in order and laid before the judge; then the figures.

Shares no code with a front. A front is told of an event when it asks for later ones, or by the list it starts
with; an answer is excused where its front was killed or stopped by the rig, or the rig itself stood still.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from quincepier.lab.experiment import MS, ORIGIN, SECOND, Experiment, FaultKind, LinkDirection, NetPath
from quincepier.lab.fleet.claims import Claims
from quincepier.lab.fleet.copies import Copies
from quincepier.lab.rule_checker import RuleChecker
from quincepier.lab.tally import START, Figures, Tally

CROSSED = 50 * MS  # a request that crosses the close of its connection was never taken
RESUMED = 500 * MS  # after a stop: what was due by then may be late, as the front had no time for it
TERM_TAKES = 700 * MS  # what comes later than this after SIGTERM is nobody's
TOLD_AFTER = 7 * SECOND  # since the log has it
HOLDING = frozenset(
    (FaultKind.CUT, FaultKind.SILENT, FaultKind.DELAY, FaultKind.THROTTLE)
)  # what is said over a path
HELD_AFTER_CROWD = SECOND  # a crowd goes by and by
HELD_AFTER = 1.0  # seconds after such a fault: what it kept is passed on then
US = 1000
FAULT_WORDS = ("invariant_violated_", "exception_in_", "Traceback")
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Part(msgspec.Struct, frozen=True):
    """What the processes of one kind used."""

    processes: int
    cpu_s: float
    memory_mb: float  # the most of any one


class Down(msgspec.Struct, frozen=True):
    """A front that was away: seconds of the run."""

    front: int
    since: float
    until: float
    why: str


class FleetRun(msgspec.Struct, frozen=True):
    """One run of processes, as it is kept. `void` says why its figures count for nothing."""

    experiment: str
    variant: str
    seed: int
    seconds: float
    fronts: int
    caches: int
    void: str
    figures: Figures
    series: dict[str, tuple[int, ...]]  # events in each half second
    downs: tuple[Down, ...]
    percentiles_ms: dict[str, float]
    parts: dict[str, Part]
    starts_s: tuple[float, ...]  # from each start of a front until it served
    accused: dict[str, tuple[int, ...]]  # fronts by the rule they broke

    @property
    def passed(self) -> bool:
        return not self.void and not self.figures.broken


@dataclass
class Story:
    """What the rig itself did and saw, in monotonic nanoseconds."""

    start: int = 0
    allows_second_copies: bool = True
    marks: list[tuple[int, str, bool]] = field(default_factory=list)  # when, what, whether on fronts
    downs: list[tuple[int, int, int, str]] = field(default_factory=list)  # front, since, until, why
    stops: list[tuple[int, int, int]] = field(default_factory=list)  # front, since, until
    terms: list[tuple[int, int]] = field(default_factory=list)  # front, when
    starts: list[tuple[int, int, int]] = field(default_factory=list)  # when, front, events known
    returns: list[int] = field(default_factory=list)
    claims: list[tuple[int, int]] = field(default_factory=list)  # when, front
    crashes: list[tuple[int, str]] = field(default_factory=list)  # front, why
    took: list[float] = field(default_factory=list)


def _read(folder: Path) -> Iterator[list[Any]]:
    decode = msgspec.json.Decoder(list[Any]).decode
    for path in sorted(folder.glob("notes-*")):
        for line in path.read_bytes().splitlines():
            try:
                yield decode(line)
            except msgspec.DecodeError:  # cut short as its process ended
                continue


class Evidence:
    def __init__(self, experiment: Experiment, story: Story, folder: Path) -> None:
        self.experiment, self.story = experiment, story
        self.judge, self.tally = RuleChecker(int(experiment.load.lost_ms * MS)), Tally(experiment)
        self.folder = folder
        self.notes = sorted(_read(folder), key=lambda n: n[0])
        self.notes += [[at, "started", front, seq] for at, front, seq in story.starts]
        self.notes += [[at, "struck", what, fronts] for at, what, fronts in story.marks]
        self.notes += [[since, "killed", front] for front, since, _, why in story.downs if why != "term"]
        self.notes += [[n[0] + TOLD_AFTER, "counts_as_told", n[2]] for n in self.notes if n[1] == "event"]
        self.notes.sort(key=lambda n: n[0])
        self.sent: dict[int, tuple[int, int]] = {}  # by serial: when, and for which request
        self.events: dict[int, tuple[str, list[Any]]] = {}
        self.heard: dict[int, int] = defaultdict(lambda: 1)
        self.told: dict[int, dict[int, int]] = {}  # of purges, by event
        self.open: dict[int, dict[int, int]] = defaultdict(dict)  # by front: requests and when they came
        self.claims = Claims()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.stalls = [(n[0] - n[2], n[0]) for n in self.notes if n[1] == "stall"]
        self.strain, self.last = 0.0, 0
        self.copies = Copies()
        self.allows_copies = story.allows_second_copies
        self.forwarded: set[int] = set()  # requests of which a machine read a command
        self.crossed: dict[int, int] = {}  # by request: its front; they crossed the end of their connection
        self.crowds: list[tuple[int, int, int]] = []  # front, since, until

    def _at(self, when: int) -> int:
        """On the judge's clock, on which the run begins at START."""
        return when - self.story.start + START

    def _holds_commands(self, when: int) -> bool:
        """Whether the rig keeps commands under way then: when they were begun is not seen."""
        since = (when - self.story.start) / SECOND
        return any(
            fault.kind in HOLDING
            and fault.path is NetPath.CACHES
            and fault.way is not LinkDirection.IN
            and fault.at <= since <= fault.at + fault.lasts + HELD_AFTER
            for fault in self.experiment.faults
        )

    def _stood(self, since: int, until: int) -> int:
        return sum(max(min(b, until) - max(a, since), 0) for a, b in self.stalls)

    def _excused(self, front: int, came: int, due: int) -> bool:
        """Whether the rig itself kept that front from answering.

        One that was stopped is excused for what was due in that time; what has time left after it is not.
        """
        stopped = any(f == front and a < due < b + RESUMED and came < b for f, a, b in self.story.stops)
        down = any(f == front and a <= due and came < b for f, a, b, why in self.story.downs if why != "term")
        late = any(
            f == front and came > at + TERM_TAKES and came < at + 30 * SECOND for f, at in self.story.terms
        )  # where its clients are told that it goes
        return stopped or down or late

    def hear(self) -> None:
        for when, what, *about in self.notes:
            getattr(self, f"_{what}", self._pass)(when, *about)
        self._claims()
        self._copies()
        for front, line in self._faults_told():
            self.judge.report_violation("invariant", -1, f"front {front}: {line}", front)
        for front, why in self.story.crashes:
            self.judge.report_violation("crash", -1, f"front {front} {why}", front)
        self.judge.finish(self._at(self.last))

    def _faults_told(self) -> Iterator[tuple[int, str]]:
        """Lines in which a front itself tells of a fault: an invariant that broke, an exception survived."""
        for path in sorted(self.folder.glob("front-*/log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(word in line for word in FAULT_WORDS) and "counters" not in line:
                    yield int(path.parent.name.removeprefix("front-")), line

    def _pass(self, when: int, *about: Any) -> None:
        pass

    def _came(self, when: int, cls: int, intended: int) -> None:
        self.tally.on_request(self._at(intended), cls)

    def _asked(self, when: int, job: int, front: int, effect: str, due: int, group: int) -> None:
        due += self._stood(when, due + SECOND)
        self.judge.on_request(self._at(when), job, front, effect, self._at(due))
        self.open[front][job] = when
        self.last = max(self.last, when)
        if self._excused(front, when, due):
            self.judge.on_abandoned(job)

    def _sent(
        self, when: int, job: int, front: int, machine: int, source: int, serial: int, wait_ms: int
    ) -> None:
        self.sent[serial] = (when, job)
        self.copies.began(when, job, serial)
        self.forwarded.add(job)
        if job in self.crossed:
            self._accuse_crossed(job)
        if not self._holds_commands(when):
            self.judge.on_attempt_received(
                self._at(when), job, wait_ms * MS, self._stood(when - SECOND, when + SECOND)
            )
        self.judge.on_attempt_sent(self._at(when), job, front, machine, source or None)

    def _ran(self, when: int, job: int, machine: int) -> None:
        self.judge.on_effect_run(self._at(when), job, machine)

    def _fell(self, when: int, machine: int, job: int) -> None:
        self.judge.on_cold_machine_overloaded(self._at(when), machine, job)

    def _machines(self, when: int, colds: int, strain: float) -> None:
        self.strain = strain
        for _ in range(colds):
            self.judge.count_cold_check()

    def _answer(self, when: int, job: int, status: str, serial: int, minted: int, group: int) -> None:
        if status == "spoilt":
            self.judge.report_violation("answer", job, "bytes that no machine made")
        sent = self.sent.get(serial, (0, 0))[0]
        if status == "served" and not sent:
            self.judge.report_violation("answer", job, "an answer of no attempt")
        copy = self._at(minted) if minted >= 0 else None
        self.judge.on_response(self._at(when), job, status, copy, self._at(sent), group)
        for jobs in self.open.values():
            jobs.pop(job, None)

    def _surplus(self, when: int, front: int, kind: int) -> None:
        self.judge.report_violation("answer", -1, f"front {front} says more after a request's end", front)

    def _left(self, when: int, job: int) -> None:
        """Before its time its client gave it up; past it and the client's patience it was never answered."""
        self.last = max(self.last, when)
        trace = self.judge.trace_by_request.get(job)
        if trace is not None and self._at(when) < trace.deadline + self.judge.late_tolerance:
            self.judge.on_client_disconnected(self._at(when), job)
            for jobs in self.open.values():
                jobs.pop(job, None)

    def _closed(self, when: int, job: int, serial: int) -> None:
        self.copies.closed(when, serial)

    def _crowd(self, when: int, front: int, lasts: int) -> None:
        self.crowds.append((front, when, when + lasts + HELD_AFTER_CROWD))

    def _accuse_crossed(self, job: int) -> None:
        """What crosses the end of its connection is not read, or it is answered."""
        front = self.crossed.pop(job)
        self.judge.report_violation(
            "answer", job, "forwarded, and its connection ended with no answer", front
        )

    def _lost(self, when: int, job: int, front: int, is_new: bool = False) -> None:
        came = self.open[front].pop(job, when)
        shut = is_new and any(f == front and a <= when < b for f, a, b in self.crowds)
        if self._excused(front, came, when):
            self.judge.on_abandoned(job)
        elif shut or when - came < CROSSED:
            self.judge.on_abandoned(job)
            self.crossed[job] = front
            if job in self.forwarded:
                self._accuse_crossed(job)
        else:
            self.judge.report_violation("answer", job, "its connection ended with no answer")
            self.judge.on_abandoned(job)

    def _killed(self, when: int, front: int) -> None:
        for job in self.open[front]:
            self.judge.on_abandoned(job)
        self.open[front].clear()

    def _struck(self, when: int, what: str, fronts: bool) -> None:
        self.tally.mark(self._at(when), what)
        self.tally.recovery.on_fault(self._at(when), fronts)

    # What a front knows

    def _event(self, when: int, seq: int, what: str, about: list[Any]) -> None:
        self.events[seq] = (what, about)
        if what == "purged":
            group, at = about
            self.told[seq] = {}
            self.judge.on_purge(self._at(at), group, self.told[seq])

    def _knows(self, when: int, front: int, seq: int) -> None:
        for one in range(self.heard[front] + 1, seq + 1):
            what, about = self.events.get(one, ("", []))
            if what == "purged":
                self.told[one].setdefault(front, self._at(when))
            for machine, ready in about if what == "listed" else ():
                if ready:
                    self.judge.on_return_reported(front, machine)
                else:
                    self.judge.on_leaving_reported(self._at(when), front, machine)
        self.heard[front] = max(self.heard[front], seq)

    def _counts_as_told(self, when: int, seq: int) -> None:
        """What the log has to tell counts as told by then, whether it was heard or not."""
        for front in range(self.experiment.fleet.fronts):
            self._knows(when, front, seq)

    def _call(self, when: int, front: int, since: int) -> None:
        self.tally.recovery.count("calls for the list", self._at(when))
        self._knows(when, front, since)

    def _started(self, when: int, front: int, seq: int) -> None:
        self._knows(when, front, seq)

    # What it adds up to

    def _dial(self, when: int, front: int, machine: int) -> None:
        self.tally.recovery.count("dials", self._at(when), machine, front)

    def _fill(self, when: int, kind: int, source: int) -> None:
        self.tally.on_fetch_started(self._at(when), kind == ORIGIN, source)

    def _fetch(self, when: int) -> None:
        self.tally.on_origin_fetch(self._at(when))

    def _again(self, when: int, cls: int, status: str, front: int, is_usual: bool) -> None:
        if is_usual:
            self.claims.on_try(front, when, self.experiment.classes[cls].worth, 0.0)
        self.tally.on_retry(self._at(when), cls, status)

    def _over(
        self,
        when: int,
        cls: int,
        status: str,
        came: int,
        front: int,
        serial: int,
        minted: int,
        is_usual: bool,
    ) -> None:
        c, sent = self.experiment.classes[cls], self.sent.get(serial, (0, 0))[0]
        stale = c.fresh_s > 0 and sent - minted > c.fresh_s * SECOND and status == "served"
        self.tally.on_request_finished(
            self._at(when), cls, "failed" if status == "spoilt" else status, when - came, stale
        )
        if is_usual:
            self.claims.on_try(front, when, c.worth, c.worth if status == "served" else 0.0)
        if status == "served":
            self.histogram.record_value(max((when - came) // US, 1))

    def _copies(self) -> None:
        """Rule two: where no second copy is allowed, no two attempts of a request run at once."""
        if self.allows_copies:
            return
        for job, since, until in self.copies.beside_each_other():
            self.judge.check_count_by_rule["copies"] += 1
            span = until - since
            if span > CROSSED + self._stood(since - SECOND, until + SECOND):
                self.judge.report_violation(
                    "copies", job, f"two attempts run at once for {span / SECOND:.3f} s"
                )

    def _claims(self) -> None:
        """A front that says it is back at full service serves nearly what the fleet served before."""
        marks = [at for at, _, _ in self.story.marks]
        for claim in self.claims.judged(self.story.claims, self.story.start, marks):
            self.judge.check_count_by_rule["claim"] += 1
            if claim.is_false:
                share = f"{claim.share:.2f} of {claim.usual:.2f}"
                why = f"front {claim.front} says full service and serves {share}"
                self.judge.report_violation("claim", -1, why, claim.front)

    def run(self, variant: str, seed: int, void: str, parts: dict[str, Part]) -> FleetRun:
        self.hear()
        story, experiment = self.story, self.experiment
        for at in story.returns:
            self.tally.recovery.on_front_returned(self._at(at))
        for front, _, at, _ in story.downs:
            self.tally.recovery.on_front_restarted(self._at(at), front)
        self.tally.finish(self.judge, "", len(self.notes), self.strain)
        halves = int(experiment.seconds * 2) + 1
        series = {}
        for what, times in self.tally.recovery.times_by_event.items():
            counts = [0] * halves
            for at in times:
                n = (at - START) * 2 // SECOND
                if 0 <= n < halves:
                    counts[n] += 1
            series[what] = tuple(counts)

        def of_run(at: int) -> float:
            return round((at - story.start) / SECOND, 3)

        return FleetRun(
            experiment=experiment.name,
            variant=variant,
            seed=seed,
            seconds=experiment.seconds,
            fronts=experiment.fleet.fronts,
            caches=experiment.fleet.caches,
            void=void,
            figures=self.tally.result(),
            series=series,
            downs=tuple(Down(f, of_run(a), of_run(b), why) for f, a, b, why in story.downs),
            percentiles_ms={f"{p:g}": self.histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES},
            parts=parts,
            starts_s=tuple(round(t, 3) for t in story.took),
            accused={
                rule: tuple(sorted(fronts)) for rule, fronts in self.judge.accused_fronts_by_rule.items()
            },
        )

"""Merges the notes of all processes of a run in order of time, has them judged, and computes the figures.

Shares no code with a front. A front counts as knowing a change-log event once it asks for later ones or
starts with a list that has it. A missing or late response is excused where the rig had killed or paused the
front, or where the rig's own processes were paused.
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
from quincepier.lab.fleet.attempt_spans import AttemptSpans
from quincepier.lab.fleet.claims import Claims
from quincepier.lab.rule_checker import RuleChecker
from quincepier.lab.tally import START, Figures, Tally

CONNECTION_CLOSE_RACE_NS = 50 * MS  # a request this shortly before the close may go unread
RESUME_GRACE_NS = 500 * MS  # responses due until then after a pause may be late
TERM_GRACE_NS = 700 * MS  # requests that arrive later than this after SIGTERM are excused
MAX_LOG_DELAY_NS = 7 * SECOND  # an event in the change log counts as known to all fronts from then on
# Faults that keep data under way on a path.
HOLDING_FAULTS = frozenset((FaultKind.CUT, FaultKind.SILENT, FaultKind.DELAY, FaultKind.THROTTLE))
CROWD_GRACE_NS = SECOND  # the connections of a crowd are closed one by one
HOLDING_GRACE_S = 1.0  # time after such a fault in which the data kept by it is delivered
NS_PER_US = 1000
DEFECT_LOG_TEXTS = ("invariant_violated_", "exception_in_", "Traceback")
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class ProcessUsage(msgspec.Struct, frozen=True):
    """Resources used by all processes of one kind."""

    processes: int
    cpu_s: float
    memory_mb: float  # peak resident memory of the largest process


class Downtime(msgspec.Struct, frozen=True):
    """A time in which a front was down; `since` and `until` in seconds of the run."""

    front: int
    since: float
    until: float
    why: str


class FleetRun(msgspec.Struct, frozen=True):
    """The stored result of one run.

    Attributes:
        void: Why the run is no evidence, "" if it is valid.
        series: Number of events of each kind in each half second.
        percentiles_ms: Time to a served response, by percentile.
        parts: Resource usage by kind of process.
        starts_s: Time from each start of a front until it served.
        accused: Numbers of the fronts that broke a rule, by rule.
    """

    experiment: str
    variant: str
    seed: int
    seconds: float
    fronts: int
    caches: int
    void: str
    figures: Figures
    series: dict[str, tuple[int, ...]]
    downs: tuple[Downtime, ...]
    percentiles_ms: dict[str, float]
    parts: dict[str, ProcessUsage]
    starts_s: tuple[float, ...]
    accused: dict[str, tuple[int, ...]]

    @property
    def passed(self) -> bool:
        """Whether the run is valid and no rule was broken."""
        return not self.void and not self.figures.broken


@dataclass
class RigRecord:
    """The rig's own record of a run: what it did and observed; times in monotonic nanoseconds.

    Attributes:
        start: When the load began.
        marks: Faults: time, kind, whether it strikes fronts or their paths.
        downs: Downtimes: front, since, until, reason.
        pauses: Pauses of fronts by the rig: front, since, until.
        terms: SIGTERM to fronts: front, time.
        starts: Starts of fronts: time, front, number of change-log events it starts with.
        returns: When fronts were back after a fault.
        claims: Claims of full service in logs: time, front.
        crashes: Fronts that ended or failed by themselves: front, reason.
        start_durations_s: From each start of a front until it served.
    """

    start: int = 0
    allows_second_copies: bool = True
    marks: list[tuple[int, str, bool]] = field(default_factory=list)
    downs: list[tuple[int, int, int, str]] = field(default_factory=list)
    pauses: list[tuple[int, int, int]] = field(default_factory=list)
    terms: list[tuple[int, int]] = field(default_factory=list)
    starts: list[tuple[int, int, int]] = field(default_factory=list)
    returns: list[int] = field(default_factory=list)
    claims: list[tuple[int, int]] = field(default_factory=list)
    crashes: list[tuple[int, str]] = field(default_factory=list)
    start_durations_s: list[float] = field(default_factory=list)


def read_notes_files(folder: Path) -> Iterator[list[Any]]:
    """Yield the notes of all processes, unsorted: time, event name, and its fields."""
    decode = msgspec.json.Decoder(list[Any]).decode
    for path in sorted(folder.glob("notes-*")):
        for line in path.read_bytes().splitlines():
            try:
                yield decode(line)
            except msgspec.DecodeError:  # the last line of a killed process may be incomplete
                continue


class Evidence:
    """Judges one run by its notes; methods named after a note (`_sent`, `_lost`, ...) handle that note."""

    def __init__(self, experiment: Experiment, record: RigRecord, folder: Path) -> None:
        self.experiment, self.record = experiment, record
        self.judge, self.tally = RuleChecker(int(experiment.load.lost_ms * MS)), Tally(experiment)
        self.folder = folder
        self.notes = sorted(read_notes_files(folder), key=lambda n: n[0])
        self.notes += [[at, "started", front, seq] for at, front, seq in record.starts]
        self.notes += [[at, "struck", kind, fronts] for at, kind, fronts in record.marks]
        self.notes += [[since, "killed", front] for front, since, _, why in record.downs if why != "term"]
        self.notes += [
            [n[0] + MAX_LOG_DELAY_NS, "counts_as_told", n[2]] for n in self.notes if n[1] == "event"
        ]
        self.notes.sort(key=lambda n: n[0])
        self.sent_by_serial: dict[int, tuple[int, int]] = {}  # by attempt serial: time, request
        self.events: dict[int, tuple[str, list[Any]]] = {}
        self.known_sequence_by_front: dict[int, int] = defaultdict(lambda: 1)
        # By sequence number of a purge: each front with the time since which it knows the purge.
        self.purge_known_by_event: dict[int, dict[int, int]] = {}
        # By front: each open request with its arrival time.
        self.open_requests_by_front: dict[int, dict[int, int]] = defaultdict(dict)
        self.claims = Claims()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.stalls = [(n[0] - n[2], n[0]) for n in self.notes if n[1] == "stall"]
        self.max_strain, self.last_request_ns = 0.0, 0
        self.attempt_spans = AttemptSpans()
        self.allows_copies = record.allows_second_copies
        self.forwarded_requests: set[int] = set()  # requests of which a machine has read a command
        self.close_races: dict[int, int] = {}  # request, front: sent as the connection closed
        self.crowds: list[tuple[int, int, int]] = []  # front, since, until

    def _to_judge_time(self, when: int) -> int:
        """Convert a monotonic time to the judge's clock, on which the run begins at START."""
        return when - self.record.start + START

    def _holds_commands(self, when: int) -> bool:
        """Whether a fault keeps commands under way then, so that their sending time is unknown."""
        since = (when - self.record.start) / SECOND
        return any(
            fault.kind in HOLDING_FAULTS
            and fault.path is NetPath.CACHES
            and fault.way is not LinkDirection.IN
            and fault.at <= since <= fault.at + fault.lasts + HOLDING_GRACE_S
            for fault in self.experiment.faults
        )

    def _paused_ns(self, since: int, until: int) -> int:
        """Return for how long the rig's own processes were paused in a time, summed over all of them."""
        return sum(max(min(b, until) - max(a, since), 0) for a, b in self.stalls)

    def _is_excused(self, front: int, arrived_at: int, due: int) -> bool:
        """Whether the rig itself kept a front from answering a request in time.

        A pause excuses requests that were due during it; a request due well after it is not excused.
        """
        stopped = any(
            f == front and a < due < b + RESUME_GRACE_NS and arrived_at < b for f, a, b in self.record.pauses
        )
        down = any(
            f == front and a <= due and arrived_at < b for f, a, b, why in self.record.downs if why != "term"
        )
        late = any(
            f == front and arrived_at > at + TERM_GRACE_NS and arrived_at < at + 30 * SECOND
            for f, at in self.record.terms
        )  # clients have been told by then to use other fronts
        return stopped or down or late

    def judge_notes(self) -> None:
        """Pass all notes to the judge in order of time, then apply the rules that need the whole run."""
        for when, kind, *fields in self.notes:
            getattr(self, f"_{kind}", self._ignore_note)(when, *fields)
        self._judge_claims()
        self._judge_copies()
        for front, line in self._logged_defects():
            self.judge.report_violation("invariant", -1, f"front {front}: {line}", front)
        for front, why in self.record.crashes:
            self.judge.report_violation("crash", -1, f"front {front} {why}", front)
        self.judge.finish(self._to_judge_time(self.last_request_ns))

    def _logged_defects(self) -> Iterator[tuple[int, str]]:
        """Yield log lines with a defect of the front itself: a broken invariant or an exception."""
        for path in sorted(self.folder.glob("front-*/log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(word in line for word in DEFECT_LOG_TEXTS) and "counters" not in line:
                    yield int(path.parent.name.removeprefix("front-")), line

    def _ignore_note(self, when: int, *fields: Any) -> None:
        pass

    def _came(self, when: int, cls: int, intended: int) -> None:
        self.tally.on_request(self._to_judge_time(intended), cls)

    def _asked(self, when: int, job: int, front: int, effect: str, due: int, group: int) -> None:
        due += self._paused_ns(when, due + SECOND)
        self.judge.on_request(self._to_judge_time(when), job, front, effect, self._to_judge_time(due))
        self.open_requests_by_front[front][job] = when
        self.last_request_ns = max(self.last_request_ns, when)
        if self._is_excused(front, when, due):
            self.judge.on_abandoned(job)

    def _sent(
        self, when: int, job: int, front: int, machine: int, source: int, serial: int, wait_ms: int
    ) -> None:
        self.sent_by_serial[serial] = (when, job)
        self.attempt_spans.on_started(when, job, serial)
        self.forwarded_requests.add(job)
        if job in self.close_races:
            self._accuse_close_race(job)
        if not self._holds_commands(when):
            self.judge.on_attempt_received(
                self._to_judge_time(when), job, wait_ms * MS, self._paused_ns(when - SECOND, when + SECOND)
            )
        self.judge.on_attempt_sent(self._to_judge_time(when), job, front, machine, source or None)

    def _ran(self, when: int, job: int, machine: int) -> None:
        self.judge.on_effect_run(self._to_judge_time(when), job, machine)

    def _fell(self, when: int, machine: int, job: int) -> None:
        self.judge.on_cold_machine_overloaded(self._to_judge_time(when), machine, job)

    def _machines(self, when: int, colds: int, strain: float) -> None:
        self.max_strain = strain
        for _ in range(colds):
            self.judge.count_cold_check()

    def _answer(self, when: int, job: int, status: str, serial: int, minted: int, group: int) -> None:
        if status == "spoilt":
            self.judge.report_violation("answer", job, "bytes that no machine made")
        sent = self.sent_by_serial.get(serial, (0, 0))[0]
        if status == "served" and not sent:
            self.judge.report_violation("answer", job, "an answer of no attempt")
        copy = self._to_judge_time(minted) if minted >= 0 else None
        self.judge.on_response(self._to_judge_time(when), job, status, copy, self._to_judge_time(sent), group)
        for jobs in self.open_requests_by_front.values():
            jobs.pop(job, None)

    def _surplus(self, when: int, front: int, kind: int) -> None:
        self.judge.report_violation("answer", -1, f"front {front} says more after a request's end", front)

    def _left(self, when: int, job: int) -> None:
        """The client gave the request up; after its deadline and patience it counts as not answered."""
        self.last_request_ns = max(self.last_request_ns, when)
        trace = self.judge.trace_by_request.get(job)
        if trace is not None and self._to_judge_time(when) < trace.deadline + self.judge.late_tolerance:
            self.judge.on_client_disconnected(self._to_judge_time(when), job)
            for jobs in self.open_requests_by_front.values():
                jobs.pop(job, None)

    def _closed(self, when: int, job: int, serial: int) -> None:
        self.attempt_spans.on_closed(when, serial)

    def _crowd(self, when: int, front: int, lasts: int) -> None:
        self.crowds.append((front, when, when + lasts + CROWD_GRACE_NS))

    def _accuse_close_race(self, job: int) -> None:
        """A request that races the close of its connection must be either unread or answered."""
        front = self.close_races.pop(job)
        self.judge.report_violation(
            "answer", job, "forwarded, and its connection ended with no answer", front
        )

    def _lost(self, when: int, job: int, front: int, is_new: bool = False) -> None:
        arrived_at = self.open_requests_by_front[front].pop(job, when)
        is_closed_unread = is_new and any(f == front and a <= when < b for f, a, b in self.crowds)
        if self._is_excused(front, arrived_at, when):
            self.judge.on_abandoned(job)
        elif is_closed_unread or when - arrived_at < CONNECTION_CLOSE_RACE_NS:
            self.judge.on_abandoned(job)
            self.close_races[job] = front
            if job in self.forwarded_requests:
                self._accuse_close_race(job)
        else:
            self.judge.report_violation("answer", job, "its connection ended with no answer")
            self.judge.on_abandoned(job)

    def _killed(self, when: int, front: int) -> None:
        for job in self.open_requests_by_front[front]:
            self.judge.on_abandoned(job)
        self.open_requests_by_front[front].clear()

    def _struck(self, when: int, kind: str, fronts: bool) -> None:
        self.tally.mark(self._to_judge_time(when), kind)
        self.tally.recovery.on_fault(self._to_judge_time(when), fronts)

    # Change-log events that a front knows

    def _event(self, when: int, seq: int, kind: str, fields: list[Any]) -> None:
        self.events[seq] = (kind, fields)
        if kind == "purged":
            group, at = fields
            self.purge_known_by_event[seq] = {}
            self.judge.on_purge(self._to_judge_time(at), group, self.purge_known_by_event[seq])

    def _learn_events(self, when: int, front: int, seq: int) -> None:
        """Record that a front knows all change-log events up to a sequence number."""
        for sequence in range(self.known_sequence_by_front[front] + 1, seq + 1):
            kind, fields = self.events.get(sequence, ("", []))
            if kind == "purged":
                self.purge_known_by_event[sequence].setdefault(front, self._to_judge_time(when))
            for machine, ready in fields if kind == "listed" else ():
                if ready:
                    self.judge.on_return_reported(front, machine)
                else:
                    self.judge.on_leaving_reported(self._to_judge_time(when), front, machine)
        self.known_sequence_by_front[front] = max(self.known_sequence_by_front[front], seq)

    def _counts_as_told(self, when: int, seq: int) -> None:
        """All fronts count as knowing the event by now, whether they fetched it or not."""
        for front in range(self.experiment.fleet.fronts):
            self._learn_events(when, front, seq)

    def _call(self, when: int, front: int, since: int) -> None:
        self.tally.recovery.count("calls for the list", self._to_judge_time(when))
        self._learn_events(when, front, since)

    def _started(self, when: int, front: int, seq: int) -> None:
        self._learn_events(when, front, seq)

    # Figures

    def _dial(self, when: int, front: int, machine: int) -> None:
        self.tally.recovery.count("dials", self._to_judge_time(when), machine, front)

    def _fill(self, when: int, kind: int, source: int) -> None:
        self.tally.on_fetch_started(self._to_judge_time(when), kind == ORIGIN, source)

    def _fetch(self, when: int) -> None:
        self.tally.on_origin_fetch(self._to_judge_time(when))

    def _again(self, when: int, cls: int, status: str, front: int, is_usual: bool) -> None:
        if is_usual:
            self.claims.on_try(front, when, self.experiment.classes[cls].worth, 0.0)
        self.tally.on_retry(self._to_judge_time(when), cls, status)

    def _over(
        self,
        when: int,
        cls: int,
        status: str,
        arrived_at: int,
        front: int,
        serial: int,
        minted: int,
        is_usual: bool,
    ) -> None:
        c, sent = self.experiment.classes[cls], self.sent_by_serial.get(serial, (0, 0))[0]
        stale = c.fresh_s > 0 and sent - minted > c.fresh_s * SECOND and status == "served"
        self.tally.on_request_finished(
            self._to_judge_time(when),
            cls,
            "failed" if status == "spoilt" else status,
            when - arrived_at,
            stale,
        )
        if is_usual:
            self.claims.on_try(front, when, c.worth, c.worth if status == "served" else 0.0)
        if status == "served":
            self.histogram.record_value(max((when - arrived_at) // NS_PER_US, 1))

    def _judge_copies(self) -> None:
        """Rule two: without permission for a second copy, no two attempts of a request run at once."""
        if self.allows_copies:
            return
        for job, since, until in self.attempt_spans.overlapping():
            self.judge.check_count_by_rule["copies"] += 1
            span = until - since
            if span > CONNECTION_CLOSE_RACE_NS + self._paused_ns(since - SECOND, until + SECOND):
                self.judge.report_violation(
                    "copies", job, f"two attempts run at once for {span / SECOND:.3f} s"
                )

    def _judge_claims(self) -> None:
        """A front that logs full service must serve nearly the share that the fleet served before."""
        marks = [at for at, _, _ in self.record.marks]
        for claim in self.claims.judge(self.record.claims, self.record.start, marks):
            self.judge.check_count_by_rule["claim"] += 1
            if claim.is_false:
                share = f"{claim.share:.2f} of {claim.usual:.2f}"
                why = f"front {claim.front} says full service and serves {share}"
                self.judge.report_violation("claim", -1, why, claim.front)

    def run(self, variant: str, seed: int, void: str, parts: dict[str, ProcessUsage]) -> FleetRun:
        """Judge the run and return its stored result."""
        self.judge_notes()
        record, experiment = self.record, self.experiment
        for at in record.returns:
            self.tally.recovery.on_front_returned(self._to_judge_time(at))
        for front, _, at, _ in record.downs:
            self.tally.recovery.on_front_restarted(self._to_judge_time(at), front)
        self.tally.finish(self.judge, "", len(self.notes), self.max_strain)
        half_seconds = int(experiment.seconds * 2) + 1
        series = {}
        for kind, times in self.tally.recovery.times_by_event.items():
            counts = [0] * half_seconds
            for at in times:
                n = (at - START) * 2 // SECOND
                if 0 <= n < half_seconds:
                    counts[n] += 1
            series[kind] = tuple(counts)

        def to_run_seconds(at: int) -> float:
            return round((at - record.start) / SECOND, 3)

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
            downs=tuple(
                Downtime(f, to_run_seconds(a), to_run_seconds(b), why) for f, a, b, why in record.downs
            ),
            percentiles_ms={f"{p:g}": self.histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES},
            parts=parts,
            starts_s=tuple(round(t, 3) for t in record.start_durations_s),
            accused={
                rule: tuple(sorted(fronts)) for rule, fronts in self.judge.accused_fronts_by_rule.items()
            },
        )

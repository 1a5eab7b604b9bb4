"""Latency estimates: transfer times of classes, objectives of requests, how slow an upstream is."""

import math

from quincepier.context import Context, Part
from quincepier.interface import AttemptOutcome
from quincepier.records import MS, SECOND, BaselineKey, Completion, Request
from quincepier.structures import Baseline, DecayingMean, RunningMeans

HALF_LIFE = 4 * SECOND  # ns; of what was seen of an upstream's slowness
PRIOR = 1.5  # samples as usual that stand beside those seen
SLOW = 1.3  # times the usual, or the best's, from which an upstream counts as slow
MIN_BASELINE_SAMPLES = 20  # before the least of a baseline counts
BASELINE_RISE = 0.01 / SECOND  # of the logarithm of that least, a ns
MIN_SAMPLE_WEIGHT = 0.02  # of a new sample in a mean
MIN_OBJECTIVE = 2.2  # transfer times; the crowding limit of it is past SLOW
UNANSWERED = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT)


class LatencyEstimates(Part):
    """What answers take. It never ejects an upstream: a slow one is still of use."""

    slow_factor = SLOW  # for who keeps it over a start

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        classes = context.settings.classes
        # until it is seen a transfer time is taken for high, yet another attempt fits in
        guesses = [min(c.on_time or c.deadline, c.deadline / 2) for c in classes]
        self.transfer_times = RunningMeans(guesses, MIN_SAMPLE_WEIGHT)  # ns, by class
        self.baselines = dict[BaselineKey, Baseline]()
        self.fetch_slowness = DecayingMean(HALF_LIFE, PRIOR)  # of all upstreams alike

    def transfer_time(self, request: Request) -> float:
        """Its own where told, else its class's mean, ns."""
        return max(request.told_transfer_time or self.transfer_times.means[request.event.class_index], MS)

    def objective(self, request: Request) -> float:
        """The latency wanted, ns; what even an idle upstream can't do is not aimed for."""
        transfer = self.transfer_time(request)
        return max(request.cls.on_time + request.cls.stretch * transfer, MIN_OBJECTIVE * transfer)

    def learn_transfer_time(self, completion: Completion, slowdown: float) -> None:
        """From a hit, which is transfer alone, stretched by what shares its link."""
        request = completion.attempt.request
        observed = request.told_transfer_time or completion.event.elapsed / slowdown
        self.transfer_times.add(request.event.class_index, observed)

    def learn_slowness(self, completion: Completion) -> None:
        """From an answer, or none in time: a hit tells of the cache, a fetch of its source."""
        attempt, now = completion.attempt, self.context.now
        request, elapsed = attempt.request, completion.event.elapsed
        is_overdue = elapsed > self.objective(request) and completion.outcome in UNANSWERED
        if not (completion.is_ok or is_overdue):
            return
        is_cached = not attempt.is_fetch or completion.is_from_cache
        told = request.told_transfer_time
        key = BaselineKey(request.event.class_index, is_cached, told > 0)
        baseline = self.baselines.get(key) or Baseline(updated_at=now)
        sample = math.log(max(elapsed, 1) / (told or MS))
        if completion.is_ok:
            baseline.add(now, sample, MIN_SAMPLE_WEIGHT, MIN_BASELINE_SAMPLES, BASELINE_RISE)
            self.baselines[key] = baseline
        elif baseline.count == 0 or sample < baseline.least:
            return
        slowness = sample - baseline.least
        source = None if is_cached else attempt.source
        if source is None or not completion.is_ok:  # what ended without an answer may be either's fault
            attempt.upstream.slowness.add(now, slowness)
        if source is not None:
            source.slowness.add(now, slowness)
            self.fetch_slowness.add(now, slowness)

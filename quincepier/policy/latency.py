"""Latency estimates: transfer times of request classes, latency objectives, slowness of upstreams."""

import math

from quincepier.context import Context, RouterComponent
from quincepier.interface import AttemptOutcome
from quincepier.records import MS, SECOND, BaselineKey, Completion, Request
from quincepier.structures import Baseline, DecayingMean, RunningMeans

SLOWNESS_HALF_LIFE = 4 * SECOND  # ns; half-life of slowness samples
SLOWNESS_PRIOR = 1.5  # assumed samples of usual latency, added to the real ones
# Multiple of the usual latency, or of the best upstream's, from which an upstream counts as slow.
SLOW_FACTOR = 1.3
MIN_BASELINE_SAMPLES = 20  # samples after which the minimum of a baseline is kept
BASELINE_RISE = 0.01 / SECOND  # rise of that minimum (a logarithm) per ns
MIN_SAMPLE_WEIGHT = 0.02  # of a new sample in a mean
# Transfer times; large enough that a slowness of SLOW_FACTOR alone does not make a cache count as saturated.
MIN_OBJECTIVE = 2.2
OUTCOMES_WITHOUT_RESPONSE = (AttemptOutcome.CANCELLED, AttemptOutcome.TIMEOUT)


class LatencyEstimates(RouterComponent):
    """Estimates latencies from completed attempts.

    Slow upstreams get less load but are not ejected, as they are still of use.

    Attributes:
        transfer_times: Mean transfer time of each request class, ns.
        baselines: Usual latencies, as logarithms, of comparable responses.
        fetch_slowness: How much slower than usual fetches are, over all sources.
    """

    slow_factor = SLOW_FACTOR  # used when learned facts are restored after a restart

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        classes = context.settings.classes
        # before the first sample a high transfer time is assumed, but one that leaves time for a retry
        guesses = [min(c.on_time or c.deadline, c.deadline / 2) for c in classes]
        self.transfer_times = RunningMeans(guesses, MIN_SAMPLE_WEIGHT)
        self.baselines = dict[BaselineKey, Baseline]()
        self.fetch_slowness = DecayingMean(SLOWNESS_HALF_LIFE, SLOWNESS_PRIOR)

    def transfer_time(self, request: Request) -> float:
        """Return the transfer time of a request, ns: by its size if that is known, else its class's mean."""
        return max(request.known_transfer_time or self.transfer_times.means[request.event.class_index], MS)

    def objective(self, request: Request) -> float:
        """Return the latency objective of a request, ns; an idle upstream can always reach it."""
        transfer = self.transfer_time(request)
        return max(request.cls.on_time + request.cls.stretch * transfer, MIN_OBJECTIVE * transfer)

    def learn_transfer_time(self, completion: Completion, slowdown: float) -> None:
        """Learn the transfer time of a class from a hit.

        Args:
            completion: A hit, whose latency is that of the transfer alone.
            slowdown: Factor by which other transfers over the same link slowed it.
        """
        request = completion.attempt.request
        observed = request.known_transfer_time or completion.event.elapsed / slowdown
        self.transfer_times.add(request.event.class_index, observed)

    def learn_slowness(self, completion: Completion) -> None:
        """Learn the slowness of the upstream that determined the latency of an attempt.

        For a hit that is the cache, for a fetch its source. An attempt without a response counts only if it
        was overdue.
        """
        attempt, now = completion.attempt, self.context.now
        request, elapsed = attempt.request, completion.event.elapsed
        is_overdue = elapsed > self.objective(request) and completion.outcome in OUTCOMES_WITHOUT_RESPONSE
        if not (completion.is_ok or is_overdue):
            return
        is_cached = not attempt.is_fetch or completion.is_from_cache
        known_transfer_time = request.known_transfer_time
        key = BaselineKey(request.event.class_index, is_cached, known_transfer_time > 0)
        baseline = self.baselines.get(key) or Baseline(updated_at=now)
        sample = math.log(max(elapsed, 1) / (known_transfer_time or MS))
        if completion.is_ok:
            baseline.add(now, sample, MIN_SAMPLE_WEIGHT, MIN_BASELINE_SAMPLES, BASELINE_RISE)
            self.baselines[key] = baseline
        elif baseline.count == 0 or sample < baseline.minimum:
            return
        slowness = sample - baseline.minimum
        source = None if is_cached else attempt.source
        if source is None or not completion.is_ok:  # without a response either may be at fault
            attempt.upstream.slowness.add(now, slowness)
        if source is not None:
            source.slowness.add(now, slowness)
            self.fetch_slowness.add(now, slowness)

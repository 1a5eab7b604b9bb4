"""Measures the consistency check in virtual time: its cost by number of fronts, and its false alarms.

.venv/bin/python bench/consistency.py cost [FRONTS ...]  # bytes per second, CPU ms per round
.venv/bin/python bench/consistency.py calm FRONTS TURNS SEED ...  # false alarms in so many front-hours
"""

from __future__ import annotations

import random
import sys

from quincepier.consistency import ConsistencySection
from quincepier.lab.consistency_simulation import SimulatedFleet, make_endpoint_list
from tests.rig import MS, SECOND, make_settings

ENDPOINTS = make_endpoint_list(12, 16, 8)  # 192 caches in 12 zones, 8 parents
ROUNDS, DURATION_S = 2, 20
LOSS_PROBABILITY = 0.2


def measure_cost(count: int) -> None:
    fleet = SimulatedFleet(count, 1, make_settings(), ConsistencySection(), ENDPOINTS, measures_cpu=True)
    fleet.start()
    fleet.run(DURATION_S * SECOND)
    followers = [front.name for front in fleet.fronts[1:]]
    bytes_per_s = sum(fleet.bytes_sent[name] for name in followers) / len(followers) / DURATION_S
    cpu_ms = sorted(fleet.cpu_ns[name] / ROUNDS / MS for name in followers)
    collector = fleet.fronts[0]
    result = collector.checker.last_result
    took_ms = result.duration_ns / MS if result is not None else 0
    print(
        f"{count} fronts: sent {bytes_per_s:.1f} B/s a front, "
        f"{fleet.bytes_sent[collector.name] / DURATION_S:.0f} B/s by the collector; "
        f"a round costs {sum(cpu_ms) / len(cpu_ms):.1f} ms of CPU a front "
        f"(99th {cpu_ms[len(cpu_ms) * 99 // 100]:.1f}), "
        f"{fleet.cpu_ns[collector.name] / ROUNDS / MS:.1f} at the collector; "
        f"took {took_ms:.0f} ms; findings {len(fleet.findings)}",
        flush=True,
    )


def run_healthy_fleet(count: int, turns: int, seed: int) -> None:
    """Count false alarms under message loss, rollouts of versions and lists, restarts and partitions."""
    section = ConsistencySection(sample_size=16, round_interval_s=5)
    fleet = SimulatedFleet(count, seed, make_settings(), section, loss_probability=LOSS_PROBABILITY)
    draw = random.Random(seed)
    fleet.start()
    started_ns = fleet.now_ns
    for turn in range(turns):
        fleet.roll_out_version(3 * SECOND)
        if turn % 2:
            endpoints = make_endpoint_list(2, 4 + draw.randrange(3), 2, draw.randrange(3))
            fleet.publish_list(2 * SECOND, endpoints)
        if turn % 3 == 1:
            for front in draw.sample(fleet.fronts, max(count // 20, 1)):
                fleet.restart(front, SECOND)
        if turn % 6 in (2, 4):
            half = frozenset(f"f{n}" for n in range(count // 2))
            fleet.partition(half if turn % 6 == 2 else frozenset())
        fleet.run(draw.randrange(2000, 20_000) * MS)
    hours = (fleet.now_ns - started_ns) * count / SECOND / 3600
    alarms = [finding.to_text() for finding in fleet.divergence_findings()]
    summary = f"{count} fronts, seed {seed}: {hours:.1f} front-hours, false alarms {len(alarms)}"
    print(summary, alarms[:2], flush=True)


if __name__ == "__main__":
    mode, *numbers = sys.argv[1:]
    if mode == "cost":
        for count in map(int, numbers or ("10", "100", "1000")):
            measure_cost(count)
    else:
        for seed in map(int, numbers[2:]):
            run_healthy_fleet(int(numbers[0]), int(numbers[1]), seed)

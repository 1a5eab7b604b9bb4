"""Measures membership against two baselines in virtual time: detection in s, wrong removals, bytes per s.

    .venv/bin/python bench/membership.py [MEMBERS ...]

Baselines: heartbeats from each member to all with a fixed timeout, and SWIM as first published (one suspicion
suffices, no local health, a fixed suspicion timeout).
"""

from __future__ import annotations

import random
import statistics
import sys
from typing import NamedTuple

from quincepier.lab.membership_simulation import SimulatedPeerNetwork
from quincepier.membership import ProbeIntervals
from quincepier.membership.probe_intervals import MS, SECOND

SWIM = ProbeIntervals(
    required_suspicions=1,
    max_local_health=0,
    min_suspicion_timeout_ns=1000 * MS,
    max_suspicion_timeout_ns=1000 * MS,
    view_change_delay_ns=1,
    max_view_change_delay_ns=1,
)
HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT = 200 * MS, 1200 * MS  # of the baseline


RUN_S = 20
FAULTS = ("kill", "loss", "pause", "partition")
LOSS = 0.2  # of datagrams
PAUSE = 2 * SECOND
HEARTBEAT_BYTES = 60


class RunResult(NamedTuple):
    """Result of one run, over the members without a fault."""

    detection_s: list[float]  # of each member, until it removed the killed one
    wrong_removals: int
    bytes_per_s: float  # of each member
    datagrams_per_s: float


def run_detector(count: int, seed: int, intervals: ProbeIntervals | None, fault: str) -> RunResult:
    net = SimulatedPeerNetwork(count, seed, intervals, loss=LOSS if fault == "loss" else 0.0)
    net.start()
    net.run(8 * SECOND)
    since, bytes_before = net.now, sum(net.bytes.values())
    datagrams_before = sum(net.datagrams.values())
    killed, tenth = net.peers[-1], max(count // 10, 1)
    if fault == "pause":
        for peer in net.peers[:tenth]:
            peer.pause(PAUSE)
    elif fault == "partition":
        net.blocked_links = {(f"f{a}", f"f{b}") for a in range(tenth) for b in range(count // 2, count)}
    elif fault == "kill":
        killed.kill()
    net.run(RUN_S * SECOND)
    removals = [
        (at, name) for peer in net.peers for at, view in peer.views if at > since for name in view.removed
    ]
    detection_s = [(at - since) / SECOND for at, name in removals if name == killed.name]
    wrong_removals = sum(name != killed.name or fault != "kill" for _, name in removals)
    sent_bytes = sum(net.bytes.values()) - bytes_before
    sent_datagrams = sum(net.datagrams.values()) - datagrams_before
    member_s = RUN_S * count
    return RunResult(detection_s, wrong_removals, sent_bytes / member_s, sent_datagrams / member_s)


def run_heartbeats(count: int, seed: int, fault: str) -> RunResult:
    """Simulate heartbeats to all, pair by pair, one step per heartbeat."""
    rng, loss, tenth = random.Random(seed), LOSS if fault == "loss" else 0.0, max(count // 10, 1)
    detection_s, wrong_removals = list[float](), 0
    for sender in range(count):
        phase = rng.randrange(HEARTBEAT_INTERVAL)
        for receiver in range(count):
            if sender == receiver:
                continue
            if fault == "partition" and sender < tenth and receiver >= count // 2:
                wrong_removals += 1
                continue
            last_heartbeat, is_removed = 0, False
            for at in range(phase, RUN_S * SECOND, HEARTBEAT_INTERVAL):
                if at - last_heartbeat > HEARTBEAT_TIMEOUT and not is_removed:
                    is_removed = True
                    wrong_removals += 1
                is_paused = fault == "pause" and sender < tenth and at < PAUSE
                if rng.random() >= loss and not is_paused:
                    last_heartbeat, is_removed = at, False
            if fault == "kill" and sender == 0:
                detection = HEARTBEAT_TIMEOUT - phase + rng.randrange(HEARTBEAT_INTERVAL)
                detection_s.append(detection / SECOND)
    datagrams_per_s = (count - 1) * SECOND / HEARTBEAT_INTERVAL
    return RunResult(
        detection_s,
        wrong_removals if fault != "kill" else 0,
        HEARTBEAT_BYTES * datagrams_per_s,
        datagrams_per_s,
    )


def run(detector: str, count: int, seed: int, fault: str) -> RunResult:
    if detector == "heartbeats":
        return run_heartbeats(count, seed, fault)
    return run_detector(count, seed, SWIM if detector == "SWIM" else None, fault)


def main(counts: list[int]) -> None:
    for count in counts:
        for detector in ("quincepier", "SWIM", "heartbeats"):
            cells = []
            for fault in FAULTS:
                seeds = range(1, 4 if count <= 100 else 2)
                results = [run(detector, count, seed, fault) for seed in seeds]
                if fault == "kill":
                    times = sorted(time for result in results for time in result.detection_s)
                    worst = times[int(len(times) * 0.99)] if times else 0.0
                    first = results[0]
                    cells.append(f"kill detected after {statistics.median(times):.1f} s, {worst:.1f} s")
                    cells.append(
                        f"{first.bytes_per_s:.0f} bytes, {first.datagrams_per_s:.0f} datagrams a second"
                    )
                cells.append(f"{fault} {sum(result.wrong_removals for result in results)} wrong")
            print(f"{count} members, {detector}: " + "; ".join(cells), flush=True)


if __name__ == "__main__":
    main([int(n) for n in sys.argv[1:]] or [10, 100])

"""Membership in virtual time beside two baselines in the same runs: detection, wrong accusations, bytes.

    .venv/bin/python bench/membership.py [MEMBERS ...]

Baselines of our own: a heartbeat of each to all with a fixed time, and SWIM as first published (one accuser
is enough, no health, suspicion of a fixed time).
"""

from __future__ import annotations

import random
import statistics
import sys

from quincepier.lab.peers import PeerNet
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
BEAT, SILENT = 200 * MS, 1200 * MS  # of the baseline: between heartbeats; without one, a member is put out


def ours(
    count: int, seed: int, intervals: ProbeIntervals | None, fault: str
) -> tuple[list[float], int, float, float]:
    """Seconds until each knew of the kill, members wrongly put out, bytes and datagrams a second of each."""
    net = PeerNet(count, seed, intervals, loss=0.2 if fault == "loss" else 0.0)
    net.start()
    net.run(8 * SECOND)
    since, sent, told = net.now, sum(net.bytes.values()), sum(net.datagrams.values())
    dead = net.peers[-1]
    if fault == "pause":
        for peer in net.peers[: max(count // 10, 1)]:
            peer.pause(2 * SECOND)
    elif fault == "cut":
        tenth = max(count // 10, 1)
        net.cuts = {(f"f{a}", f"f{b}") for a in range(tenth) for b in range(count // 2, count)}
    elif fault == "kill":
        dead.kill()
    net.run(20 * SECOND)
    times = [
        (at - since) / SECOND for p in net.peers for at, v in p.views if at > since and dead.name in v.removed
    ]
    wrong = sum(name != dead.name or fault != "kill" for p in net.peers for at, v in p.views
                if at > since for name in v.removed)  # fmt: skip
    each = 20 * count
    return times, wrong, (sum(net.bytes.values()) - sent) / each, (sum(net.datagrams.values()) - told) / each


def beats(count: int, seed: int, fault: str) -> tuple[list[float], int, float, float]:
    """The same of heartbeats to all: each pair by itself, a step for each heartbeat."""
    chance, loss, tenth = random.Random(seed), 0.2 if fault == "loss" else 0.0, max(count // 10, 1)
    times, wrong = list[float](), 0
    for a in range(count):
        phase = chance.randrange(BEAT)
        for b in range(count):
            if a == b:
                continue
            if fault == "cut" and a < tenth and b >= count // 2:
                wrong += 1  # b never hears a
                continue
            heard, out = 0, False
            for at in range(phase, 20 * SECOND, BEAT):
                quiet = at - heard > SILENT
                if quiet and not out:
                    out, wrong = True, wrong + 1
                silent = fault == "pause" and a < tenth and at < 2 * SECOND
                if chance.random() >= loss and not silent:
                    heard, out = at, False
            if fault == "kill" and a == 0:
                times.append((SILENT - phase + chance.randrange(BEAT)) / SECOND)
    return (
        times,
        wrong if fault != "kill" else 0,
        60 * (count - 1) * SECOND / BEAT,
        (count - 1) * SECOND / BEAT,
    )


def main(counts: list[int]) -> None:
    for count in counts:
        for name in ("ours", "SWIM", "heartbeats"):
            cells = []
            for fault in ("kill", "loss", "pause", "cut"):
                seeds = range(1, 4 if count <= 100 else 2)
                intervals = SWIM if name == "SWIM" else None
                beat = name == "heartbeats"
                runs = [beats(count, s, fault) if beat else ours(count, s, intervals, fault) for s in seeds]
                times = sorted(t for run in runs for t in run[0])
                if fault == "kill":
                    last = times[int(len(times) * 0.99)] if times else 0.0
                    cells.append(f"kill known after {statistics.median(times):.1f} s, {last:.1f} s")
                    cells.append(f"{runs[0][2]:.0f} bytes, {runs[0][3]:.0f} datagrams a second")
                cells.append(f"{fault} {sum(run[1] for run in runs)} wrong")
            print(f"{count} members, {name}: " + "; ".join(cells), flush=True)


if __name__ == "__main__":
    main([int(n) for n in sys.argv[1:]] or [10, 100])

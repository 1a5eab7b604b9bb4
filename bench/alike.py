"""Comparing all fronts in virtual time: its cost by the number of fronts, and hours without a false alarm.

.venv/bin/python bench/alike.py cost [FRONTS ...]
.venv/bin/python bench/alike.py calm FRONTS TURNS SEED ...
"""

from __future__ import annotations

import random
import sys

from quincepier.consistency import ConsistencySection
from quincepier.lab.alike import AlikeNet, listed
from tests.rig import MS, SECOND, make_settings

LINES = listed(12, 16, 8)  # 192 caches in 12 zones, 8 parents


def cost(count: int) -> None:
    net = AlikeNet(count, 1, make_settings(), ConsistencySection(), LINES, measures=True)
    net.start()
    net.run(20 * SECOND)
    followers = [f.name for f in net.fronts[1:]]
    each = sum(net.bytes[n] for n in followers) / len(followers) / 20
    cpu = sum(net.cpu[n] for n in followers) / len(followers) / 2 / MS
    told = sorted(net.cpu[n] / 2 / MS for n in followers)[len(followers) * 99 // 100]
    front = net.fronts[0]
    print(
        f"{count} fronts: sent {each:.1f} B/s a front, {net.bytes['f0'] / 20:.0f} B/s by who collects; "
        f"a round costs {cpu:.1f} ms of CPU a front (99th {told:.1f}), "
        f"{net.cpu['f0'] / 2 / MS:.1f} at who collects; "
        f"took {front.checker.took / MS:.0f} ms; findings {len(net.findings)}",
        flush=True,
    )


def calm(count: int, turns: int, seed: int) -> None:
    """Versions and lists roll, a fifth of the words is lost, fronts start, halves are cut and healed."""
    section = ConsistencySection(sample=16, every_s=5)
    net, chance = AlikeNet(count, seed, make_settings(), section, loss=0.2), random.Random(seed)
    net.start()
    began = net.now
    for turn in range(turns):
        net.roll(3 * SECOND)
        if turn % 2:
            net.relist(2 * SECOND, listed(2, 4 + chance.randrange(3), 2, chance.randrange(3)))
        if turn % 3 == 1:
            for front in chance.sample(net.fronts, max(count // 20, 1)):
                net.restart(front, SECOND)
        if turn % 6 in (2, 4):
            half = frozenset(f"f{n}" for n in range(count // 2))
            net.cut(half if turn % 6 == 2 else frozenset())
        net.run(chance.randrange(2000, 20_000) * MS)
    hours = (net.now - began) * count / SECOND / 3600
    wrong = [f.line() for f in net.told()]
    told = f"{count} fronts, seed {seed}: {hours:.1f} front-hours, false alarms {len(wrong)}"
    print(told, wrong[:2], flush=True)


if __name__ == "__main__":
    what, *numbers = sys.argv[1:]
    if what == "cost":
        for n in map(int, numbers or ("10", "100", "1000")):
            cost(n)
    else:
        for s in numbers[2:]:
            calm(int(numbers[0]), int(numbers[1]), int(s))

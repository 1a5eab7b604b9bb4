"""By hand: how many worlds of three voters there are within a budget, and how far seeds get with all faults.

python bench/agree.py whole [MOST [NUMBER...]]    # budgets explored, at most so many states each
python bench/agree.py times           # elections, agreement, cost, with and without faults
"""

from __future__ import annotations

import statistics
import sys
import time

from quincepier.lab.agreement import MS, SECOND, VoterNet
from quincepier.lab.explored import Budget, Explorer

BUDGETS = [
    (Budget(1, 0, 0, 0, 0, 1), None),
    (Budget(1, 0, 1, 0), None),
    (Budget(1, 0, 0, 1), None),
    (Budget(1, 0, 0, 0, 1), None),
    (Budget(2, 0, 0, 0), None),
    (Budget(2, 0, 0, 0), {"a": (2,), "b": (3,), "c": ()}),
    (Budget(1, 0, 1, 1), None),
    (Budget(2, 0, 0, 1), None),
]


def whole(most: int, numbers: list[int]) -> None:
    for left, logs in [BUDGETS[n] for n in numbers]:
        begun = time.process_time()
        told = Explorer(left, logs, 3 if logs else 0).explore(most)
        spent = time.process_time() - begun
        print(left, logs or "", told, f"{spent:.0f} s of CPU", flush=True)


def times() -> None:
    for voters in (3, 5, 7):
        for way in ((MS // 2, MS), (500 * MS, 500 * MS)):
            runs = [timed(voters, seed, way) for seed in range(20)]
            first, killed = spread([r[0] for r in runs]), spread([r[1] for r in runs])
            agree = spread([time for r in runs for time in r[2]])
            words, size = statistics.mean(r[3] for r in runs), statistics.mean(r[4] for r in runs)
            print(voters, "voters", way[0] / MS, "ms one way; first", first, "s, after a kill", killed, "s")
            print(f"   agreed by all {agree} ms; at rest {words:.0f} words, {size:.0f} bytes/s", flush=True)


def timed(voters: int, seed: int, way: tuple[int, int]) -> tuple[float, float, list[float], float, float]:
    net, agree = VoterNet(voters, seed), list[float]()
    net.way = way
    net.start()
    first = net.until(lambda: net.leader is not None) / SECOND
    net.run(3 * SECOND)
    old, seats = net.leader, list(net.seats.values())
    assert old is not None
    for wanted in (b"1", b"2", b"3", b"4", b"5"):
        old.propose(wanted)
        agree.append(net.until(lambda w=wanted: all(s.newest and s.newest.data == w for s in seats)) / MS)
    sent, size = net.sent, net.bytes
    net.run(10 * SECOND)
    sent, size = net.sent - sent, net.bytes - size
    old.kill()
    killed = net.until(lambda: net.leader is not None and net.leader is not old) / SECOND
    return first, killed, agree, sent / 10, size / 10


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} (most {max(values):.2f}, {len(values)})"


if __name__ == "__main__":
    if sys.argv[1:2] == ["times"]:
        times()
    else:
        numbers = [int(n) for n in sys.argv[3:]] or list(range(len(BUDGETS)))
        whole(int(sys.argv[2]) if len(sys.argv) > 2 else 4_000_000, numbers)

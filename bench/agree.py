"""By hand: how many worlds of three voters there are within a budget, and how far seeds get with all faults.

    python bench/agree.py whole [MOST]    # each budget explored, at most so many states
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


def whole(most: int) -> None:
    for left, logs in BUDGETS:
        begun = time.process_time()
        told = Explorer(left, logs, 3 if logs else 0).explore(most)
        spent = time.process_time() - begun
        print(left, logs or "", told, f"{spent:.0f} s of CPU", flush=True)


def times() -> None:
    for voters in (3, 5, 7):
        for way in ((MS // 2, MS), (500 * MS, 500 * MS)):
            first, killed, agree, rest = [], [], [], []
            for seed in range(20):
                net = VoterNet(voters, seed)
                net.way = way
                net.start()
                first.append(net.until(lambda: net.leader is not None) / SECOND)
                net.run(3 * SECOND)
                for n in range(5):
                    at = net.leader
                    if at is not None:
                        at.propose(b"%d" % n)
                        wanted = b"%d" % n
                        seats = list(net.seats.values())
                        agree.append(net.until(lambda: all(s.newest and s.newest.data == wanted for s in seats)) / MS)
                sent, size = net.sent, net.bytes
                net.run(10 * SECOND)
                rest.append(((net.sent - sent) / 10, (net.bytes - size) / 10))
                old = net.leader
                if old is not None:
                    old.kill()
                    killed.append(net.until(lambda: net.leader is not None and net.leader is not old) / SECOND)
            print(voters, "voters", way[0] / MS, "ms one way;", "first", spread(first), "killed", spread(killed))
            words, size = statistics.mean(r[0] for r in rest), statistics.mean(r[1] for r in rest)
            print("   agreed by all, ms", spread(agree), f"at rest {words:.0f} words, {size:.0f} bytes a second")


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} (most {max(values):.2f}, {len(values)})"


if __name__ == "__main__":
    if sys.argv[1:2] == ["times"]:
        times()
    else:
        whole(int(sys.argv[2]) if len(sys.argv) > 2 else 4_000_000)

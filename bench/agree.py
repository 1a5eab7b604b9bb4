"""Measures the agreement in virtual time: states of three voters, and durations of elections and commits.

.venv/bin/python bench/agree.py whole [MAX_STATES [BUDGET...]]  # number of states and CPU s, by budget
.venv/bin/python bench/agree.py times  # elections in s, commits in ms, idle messages and bytes per second

Run by hand. BUDGET is an index into BUDGETS; default: all.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Sequence
from functools import partial

from quincepier.lab.model_events import Budget
from quincepier.lab.raft_model_checker import ModelChecker
from quincepier.lab.raft_simulation import MS, SECOND, SimulatedCluster, SimulatedVoter

BUDGETS = [
    (Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0, storage_losses=0, duplicates=1), None),
    (Budget(timeouts=1, heartbeats=0, proposals=1, crashes=0), None),
    (Budget(timeouts=1, heartbeats=0, proposals=0, crashes=1), None),
    (Budget(timeouts=1, heartbeats=0, proposals=0, crashes=0, storage_losses=1), None),
    (Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0), None),
    (Budget(timeouts=2, heartbeats=0, proposals=0, crashes=0), {"a": (2,), "b": (3,), "c": ()}),
    (Budget(timeouts=1, heartbeats=0, proposals=1, crashes=1), None),
    (Budget(timeouts=2, heartbeats=0, proposals=0, crashes=1), None),
]


def explore(max_states: int, numbers: list[int]) -> None:
    for budget, terms_by_name in [BUDGETS[n] for n in numbers]:
        begin = time.process_time()
        result = ModelChecker(budget, terms_by_name, 3 if terms_by_name else 0).explore(max_states)
        spent = time.process_time() - begin
        print(budget, terms_by_name or "", result, f"{spent:.0f} s of CPU", flush=True)


def measure_times() -> None:
    for voters in (3, 5, 7):
        for delay_range_ns in ((MS // 2, MS), (500 * MS, 500 * MS)):
            runs = [measure_run(voters, seed, delay_range_ns) for seed in range(20)]
            first, killed = summarize([r[0] for r in runs]), summarize([r[1] for r in runs])
            commits = summarize([time for r in runs for time in r[2]])
            messages, size = statistics.mean(r[3] for r in runs), statistics.mean(r[4] for r in runs)
            print(
                voters,
                "voters",
                delay_range_ns[0] / MS,
                "ms one way; first",
                first,
                "s, after a kill",
                killed,
                "s",
            )
            print(
                f"   committed by all {commits} ms; idle {messages:.0f} messages, {size:.0f} bytes/s",
                flush=True,
            )


def committed_by_all(voters: Sequence[SimulatedVoter], data: bytes) -> bool:
    return all(voter.has_committed(data) for voter in voters)


def measure_run(
    size: int, seed: int, delay_range_ns: tuple[int, int]
) -> tuple[float, float, list[float], float, float]:
    """Return s to the first leader and to the next one, ms of each commit, idle messages and bytes per s."""
    cluster, commits = SimulatedCluster(size, seed), list[float]()
    cluster.delay_range_ns = delay_range_ns
    cluster.start()
    first = cluster.run_until(lambda: cluster.leader is not None) / SECOND
    cluster.run(3 * SECOND)
    old, voters = cluster.leader, list(cluster.voters.values())
    assert old is not None
    for data in (b"1", b"2", b"3", b"4", b"5"):
        old.propose(data)
        took = cluster.run_until(partial(committed_by_all, voters, data))
        commits.append(took / MS)
    messages, size_before = cluster.sent_messages, cluster.sent_bytes
    cluster.run(10 * SECOND)
    messages, idle_bytes = cluster.sent_messages - messages, cluster.sent_bytes - size_before
    old.kill()
    killed = cluster.run_until(lambda: cluster.leader is not None and cluster.leader is not old) / SECOND
    return first, killed, commits, messages / 10, idle_bytes / 10


def summarize(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} (most {max(values):.2f}, {len(values)})"


if __name__ == "__main__":
    if sys.argv[1:2] == ["times"]:
        measure_times()
    else:
        numbers = [int(n) for n in sys.argv[3:]] or list(range(len(BUDGETS)))
        explore(int(sys.argv[2]) if len(sys.argv) > 2 else 4_000_000, numbers)

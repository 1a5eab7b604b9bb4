"""The laboratory: machine model, rule checker, reproducible runs, experiment files and comparison."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier import interface as io
from quincepier.lab.compare import Verdict, compare
from quincepier.lab.experiment import MS, SECOND, Experiment, Variant, load
from quincepier.lab.machine_model import ColdStart, CopyStore, ProcessorSharing
from quincepier.lab.rule_checker import DRAIN_GRACE, PURGE_GRACE, RuleChecker
from quincepier.lab.runs import StoredRuns, play, read_runs, write_runs
from quincepier.lab.world import World
from quincepier.operator import OperatorError
from quincepier.operator.reading import read_struct
from quincepier.policy import Router

FOLDER = Path(__file__).parent.parent / "experiments"
SMALL = """
name: small
seconds: 8
seeds: [1]
fleet: {fronts: 3, caches: 4, zones: 1}
load: {rate: 60}
classes:
  - {name: photo, share: 0.9, send_ms: 20, wanted_ms: 300, deadline_ms: 2000, objects: 200}
  - {name: bid, share: 0.1, send_ms: 5, wanted_ms: 700, deadline_ms: 3000, worth: 3,
     effect: unsafe, never_kept: true}
"""


def small(faults: str = "") -> Experiment:
    return read_struct(SMALL + (f"faults: [{faults}]\n" if faults else ""), "small.yaml", Experiment)


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 50), st.integers(1, 80)), min_size=1, max_size=9), st.integers(1, 4))
def test_processor_sharing_matches_a_simulation_in_small_steps(
    script: list[tuple[int, int]], places: int
) -> None:
    """The service clock gives the same completion times as a simulation in small time steps."""
    sharing, now, ends = ProcessorSharing(places), 0, dict[int, float]()
    arrivals, at = list[tuple[int, int]](), 0
    for wait, work in script:
        at += wait
        arrivals.append((at, work))
    left = {n: float(work) for n, (_, work) in enumerate(arrivals)}
    slow, step = dict[int, float](), 0.05
    clock = 0.0
    while len(slow) < len(arrivals):
        running = [n for n, (start, _) in enumerate(arrivals) if start <= clock and n not in slow]
        pace = min(1.0, places / len(running)) if running else 1.0
        for n in running:
            left[n] -= step * pace
            if left[n] <= 1e-9:
                slow[n] = clock + step
        clock += step
    scale = 1000
    for n, (start, work) in enumerate(arrivals):
        while (due := sharing.next_completion()) is not None and due <= start * scale:
            now = due
            ends |= {done: now / scale for done in sharing.pop_completed(now)}
        now = start * scale
        ends |= {done: now / scale for done in sharing.pop_completed(now)}
        sharing.start(now, work * scale, n)
    while (due := sharing.next_completion()) is not None:
        ends |= {done: due / scale for done in sharing.pop_completed(due)}
    assert ends.keys() == slow.keys() and not sharing.active_count
    assert all(abs(ends[n] - slow[n]) <= 0.2 + 0.02 * len(arrivals) for n in ends)


def test_a_cancelled_transfer_releases_its_capacity() -> None:
    sharing = ProcessorSharing(1)
    first, _ = sharing.start(0, 1000, "a"), sharing.start(0, 1000, "b")
    sharing.cancel(500, first)
    assert (
        sharing.next_completion() == 1251
        and sharing.pop_completed(1251) == ["b"]
        and not sharing.active_count
    )


def test_store_evicts_the_least_recently_used_and_overload_crashes_cold_machines() -> None:
    store = CopyStore(2)
    store.put("a", 1)
    store.put("b", 1)
    assert store.get("a") == 1
    store.put("c", 1)
    assert store.get("b") is None and store.get("a") == 1
    cold = ColdStart(10 * SECOND, 0.2, 10.0, 2.5, SECOND, capacity=4)
    assert cold.capacity_share(10 * SECOND) == 0.2 and cold.capacity_share(20 * SECOND) == 1.0
    asks = [cold.add_request(12 * SECOND + n * 10 * MS, 100 * MS) for n in range(60)]
    assert not any(asks[:25]) and any(asks)  # 2.5 times 0.28 of a capacity of 4 for a second is 2.8 s of work
    warm = ColdStart(0, 0.2, 10.0, 2.5, SECOND, capacity=4)
    assert not any(warm.add_request(n, 10 * SECOND) for n in range(50))


# Rule checker


def broken_rules(*steps: tuple[str, tuple[object, ...]]) -> list[str]:
    checker = RuleChecker()
    checker.on_request(SECOND, 7, 0, "unsafe", 4 * SECOND)
    for name, arguments in steps:
        getattr(checker, name)(*arguments)
    checker.finish(9 * SECOND)
    return [b.rule for b in checker.violations]


def test_rule_checker_finds_each_violation_and_no_other() -> None:
    good = ("on_response", (2 * SECOND, 7, "served", None, 0, 0))
    assert broken_rules(good) == []
    assert broken_rules() == ["answer"]  # never answered
    assert broken_rules(good, good) == ["answer"]
    assert broken_rules(("on_response", (4 * SECOND + 60 * MS, 7, "failed", None, 0, 0))) == ["answer"]
    assert broken_rules(("on_effect_run", (SECOND, 7, 3)), ("on_effect_run", (SECOND, 7, 4)), good) == [
        "effect"
    ]
    assert broken_rules(
        ("on_effect_run", (SECOND, 7, 3)), ("on_response", (2 * SECOND, 7, "refused", None, 0, 0))
    ) == ["effect"]
    leaving = ("on_leaving_reported", (SECOND, 0, 3))
    late = SECOND + DRAIN_GRACE + 60 * MS
    assert broken_rules(leaving, ("on_attempt_sent", (SECOND + DRAIN_GRACE, 7, 0, 3, None)), good) == []
    assert broken_rules(leaving, ("on_attempt_sent", (late, 7, 0, 3, None)), good) == ["drain"]
    assert broken_rules(leaving, ("on_attempt_sent", (late, 7, 0, 9, 3)), good) == ["drain"]  # as a source
    # another front, which does not know that the machine leaves
    assert broken_rules(leaving, ("on_attempt_sent", (late, 7, 1, 3, None)), good) == []
    purge = ("on_purge", (SECOND, 5, {0: SECOND}))
    after = SECOND + PURGE_GRACE + 60 * MS
    assert broken_rules(purge, ("on_response", (2 * SECOND, 7, "served", SECOND - 1, after, 5))) == ["purge"]
    assert broken_rules(purge, ("on_response", (2 * SECOND, 7, "served", SECOND + 1, after, 5))) == []
    assert broken_rules(purge, ("on_response", (2 * SECOND, 7, "served", SECOND - 1, SECOND, 5))) == []
    assert broken_rules(("on_cold_machine_overloaded", (SECOND, 3, 7)), good) == ["cold"]


class RepeatingRouter(Router):
    """Retries unsafe requests regardless of the first attempt's outcome."""

    def __init__(self, *about: Any) -> None:
        super().__init__(*about)
        self.sender.can_send = lambda request, upstream: True  # type: ignore[method-assign]


def test_rule_checker_finds_a_module_that_repeats_unsafe_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    experiment = small("{at: 2, kind: slow, tier: 2, part: 1, size: 60, lasts: 4}")
    assert play(experiment, "as it is", 1).figures.broken == 0
    monkeypatch.setattr("quincepier.lab.front.Router", RepeatingRouter)
    world = World(experiment, Variant("as it is"), 1)
    for front in world.fronts:  # a short timeout for each attempt causes retries
        send = front._send_attempt

        def short(action: io.ForwardRequest | io.FetchThrough, send=send) -> None:  # type: ignore[no-untyped-def]
            action.timeout = min(action.timeout or SECOND, SECOND)
            send(action)

        front._send_attempt = short  # type: ignore[method-assign]
    figures = world.run().result()
    assert figures.broken and any("an unsafe request ran" in line for line in figures.first_broken)
    assert any("runs at" in line for line in figures.first_broken)


# Whole runs


@pytest.mark.parametrize(
    "faults",
    [
        "",
        "{at: 2, kind: crash, part: 0.5, lasts: 2}, {at: 3, kind: purge, part: 0.5}",
        "{at: 1, kind: lag, size: 2, lasts: 5}, {at: 2, kind: drain, part: 0.5, lasts: 2}",
        "{at: 2, kind: lost, tier: 1, part: 0.5, lasts: 3}, {at: 4, kind: rush, size: 2, lasts: 1}",
    ],
)
def test_runs_break_no_rule_and_are_reproducible(faults: str) -> None:
    experiment = small(faults)
    first, second = (play(experiment, "as it is", 3).figures for _ in range(2))
    assert first == second and first.digest != play(experiment, "as it is", 4).figures.digest
    assert first.broken == 0, first.first_broken
    counts = first.by_class
    ends = sum(n for c in counts.values() for word, n in c.items() if word != "asked" and "again" not in word)
    assert ends == sum(c["asked"] for c in counts.values()) > 300, "every request ends exactly once"
    assert first.worth > (0.9 if not faults else 0.5) and first.rules["answer"] >= ends
    calm = play(small(), "as it is", 3).figures
    assert bool(faults) == (first.digest != calm.digest) and first.worth <= calm.worth


def test_lost_state_gives_the_run_without_state_and_stored_state_another() -> None:
    """All fronts are killed at once while a cache is slow; each writes its state every half second."""

    def run(every: float, state: str) -> tuple[str, int]:
        fault = f"{{at: 4, kind: kill, part: 1, lasts: 0.3, state: {state}}}"
        slow = "{at: 1, kind: slow, part: 0.25, size: 9, lasts: 7}"
        text = SMALL.replace("zones: 1", f"zones: 1, keeps_s: {every}") + f"faults: [{slow}, {fault}]\n"
        one = play(read_struct(text, "small.yaml", Experiment), "as it is", 1)
        return one.figures.digest, one.figures.broken

    none = run(0, "keep")
    assert none[1] == 0
    for lost in ("empty", "cut", "flip"):
        assert run(0.5, lost) == none
    assert run(0.5, "keep") != none
    assert not any(run(0.5, state)[1] for state in ("keep", "older", "read-only"))


def test_examples_are_valid_and_runs_are_stored_completely(tmp_path: Path) -> None:
    for path in FOLDER.glob("*.yaml"):
        assert load(str(path)).says
    run = play(small(), "as it is", 1)
    stored_runs = StoredRuns(1, "small", (run,))
    write_runs(stored_runs, str(tmp_path / "runs.json"))
    assert read_runs(str(tmp_path / "runs.json")) == stored_runs and stored_runs.of("as it is") == {
        1: run.figures
    }
    (tmp_path / "bad.json").write_text("{")
    with pytest.raises(ValueError, match=r"bad\.json"):
        read_runs(str(tmp_path / "bad.json"))


def test_errors_of_an_experiment_file_name_line_and_key() -> None:
    text = SMALL + "faults:\n  - {at: -1, kind: flood}\nvariants:\n  - {name: a, settings: {speed: 2}}\n"
    with pytest.raises(OperatorError) as caught:
        read_struct(text, "x.yaml", Experiment)
    lines = "\n".join(caught.value.faults)
    for part in ("x.yaml:12: faults.0.at", "faults.0.kind", "variants.0", "no such setting: speed"):
        assert part in lines, lines
    with pytest.raises(OperatorError, match="classes: is missing"):
        read_struct("name: x\n", "x.yaml", Experiment)


def test_verdicts_need_enough_pairs_and_an_interval_without_zero() -> None:
    rng = random.Random(4)
    base = {seed: rng.random() for seed in range(12)}
    shifted = {seed: value + 0.05 + rng.random() / 50 for seed, value in base.items()}
    noisy = {seed: value + rng.uniform(-0.1, 0.1) for seed, value in base.items()}
    assert compare(base, shifted).verdict is Verdict.BETTER
    assert compare(base, shifted, more_is_better=False).verdict is Verdict.WORSE
    assert compare(shifted, base).verdict is Verdict.WORSE
    assert compare(base, noisy).verdict is Verdict.SAME and compare(base, base).verdict is Verdict.SAME
    assert compare({1: 0.0, 2: 0.0}, {1: 1.0, 2: 1.0}).verdict is Verdict.SAME  # two pairs are too few
    d = compare(base, shifted)
    assert d.low <= d.mean <= d.high and d == compare(base, shifted)
    with pytest.raises(ValueError, match="no seed"):
        compare({1: 0.0}, {2: 0.0})

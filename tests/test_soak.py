"""The soak test on a small scale: random runs with a few fronts, and the properties of the draws."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

from quincepier.lab.experiment import load
from quincepier.lab.fleet.processes import FrontProcess
from tests.soak import FAULT_TIMES_S, FAULTS_AT_ONCE, experiment_text, keeps_all_rules, make_plan, play


@pytest.mark.fleet(20)
@pytest.mark.parametrize("seed", [2, 47])  # 47: a crowd, a signal series, SIGTERM, no second copies
def test_a_drawn_run_keeps_the_rules(tmp_path: Path, seed: int) -> None:
    run = play(tmp_path, seed, fronts=6, seconds=12.0)
    assert keeps_all_rules(run), (run.void, run.accused, run.figures.first_broken)
    rules = run.figures.rules
    assert all(rules.get(rule, 0) > 0 for rule in ("answer", "begin", "drain", "effect", "purge"))


@pytest.mark.parametrize("seed", range(1, 40))
def test_a_run_is_drawn_whole_from_its_seed(tmp_path: Path, seed: int) -> None:
    text = experiment_text(seed, 24, 16.0)
    (tmp_path / "one.yaml").write_text(text)
    faults = load(str(tmp_path / "one.yaml")).faults
    assert text == experiment_text(seed, 24, 16.0)
    assert len(FAULT_TIMES_S) * FAULTS_AT_ONCE[0] <= len(faults) <= len(FAULT_TIMES_S) * FAULTS_AT_ONCE[1]
    assert make_plan(seed, 3, 16.0) == make_plan(seed, 3, 16.0)


def test_the_draws_overlap_in_time_and_reach_every_call() -> None:
    plans = [make_plan(seed, front, 16.0) for seed in range(40) for front in range(24)]
    assert len({rule.call for one in plans for rule in one.rules}) >= 9
    assert any(one.steps for one in plans) and any(len(one.rules) == 3 for one in plans)


def test_two_faults_that_restart_a_front_at_the_same_time_start_one_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second process could not listen and would count as a crash (seed 9339: three fronts ended with 1)."""
    started = list[int]()

    async def launch(self: FrontProcess) -> None:
        started.append(self.number)
        await asyncio.sleep(0)

    monkeypatch.setattr(FrontProcess, "_launch", launch)

    async def scenario() -> None:
        front = FrontProcess(SimpleNamespace(folder=tmp_path), 3)  # type: ignore[arg-type]
        await asyncio.gather(front.launch(), front.launch())

    asyncio.run(scenario())
    assert started == [3]

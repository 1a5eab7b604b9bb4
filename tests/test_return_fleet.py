"""Recovery of killed front processes: most at once, again during recovery, with state kept, lost, damaged."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from quincepier.lab.experiment import load
from quincepier.lab.fleet.evidence import FleetRun
from quincepier.lab.fleet.rig import Rig
from tests.test_fleet import CLASSES, write_experiment

HEAD = """
name: coming back
seeds: [1]
load: {rate: 90, retries: 2}
"""


class LogKeepingRig(Rig):
    """A rig that keeps the logs of its fronts; the run's folder is removed at its end."""

    log_by_front: dict[int, str]

    async def _end(self) -> None:
        self.log_by_front = {f.number: (f.folder / "log").read_text() for f in self.fronts if f.starts}
        await super()._end()


def run_fleet(folder: Path, text: str) -> tuple[FleetRun, dict[int, str]]:
    path = write_experiment(folder, HEAD + text + CLASSES)
    experiment = load(path)
    rig = LogKeepingRig(path, experiment, experiment.variants[0], 1)
    run = asyncio.run(rig.play())
    assert not run.void and not run.accused, (run.void, run.figures.first_broken)
    return run, rig.log_by_front


def lines_with(log: str, text: str) -> list[str]:
    return [line for line in log.splitlines() if text in line]


@pytest.mark.fleet(18)
def test_all_fronts_killed_during_a_purge_and_a_drain_and_again_while_they_return(
    tmp_path: Path,
) -> None:
    """Three of six fronts keep their state; half of them can't reach the change log as they return."""
    run, log_by_front = run_fleet(
        tmp_path,
        """
seconds: 15
fleet: {zones: 1, fronts: 6, caches: 4, parents: 2, cache_sends: 6, noticed_s: 0.5, keeps_s: 0.5,
        keeps_part: 0.5}
faults:
  - {at: 4, kind: drain, part: 0.25, lasts: 1}
  - {at: 4, kind: crash, part: 0.5, lasts: 0.5}
  - {at: 4.2, kind: kill, part: 1, lasts: 0.6}
  - {at: 4.4, kind: purge, part: 0.5}
  - {at: 4.5, kind: cut, part: 0.5, path: log, way: in, lasts: 1.5}
  - {at: 7, kind: kill, part: 0.7, lasts: 0.2, settled: true}
""",
    )
    assert len(run.downs) >= 10
    for number, text in log_by_front.items():
        starts = len(lines_with(text, " serves on "))
        assert len(lines_with(text, "stage list: a list is there")) == starts >= 2
        assert len(lines_with(text, "state read: ")) == (starts - 1 if number < 3 else 0)
        assert "exception" not in text and "invariant_violated" not in text
    assert all(run.figures.rules.get(rule, 0) > 0 for rule in ("answer", "drain", "purge"))


@pytest.mark.fleet(14)
def test_damaged_and_lost_states_of_all_fronts_are_logged_and_break_no_rule(tmp_path: Path) -> None:
    run, log_by_front = run_fleet(
        tmp_path,
        """
seconds: 11
fleet: {zones: 1, fronts: 4, caches: 4, parents: 2, cache_sends: 6, noticed_s: 0.5, keeps_s: 0.3}
faults:
  - {at: 3, kind: kill, part: 1, lasts: 0.3, state: cut, settled: true}
  - {at: 5.5, kind: kill, part: 1, lasts: 0.3, state: flip, settled: true}
  - {at: 8, kind: kill, part: 1, lasts: 0.3, state: empty, settled: true}
""",
    )
    assert len(run.downs) == 12
    for text in log_by_front.values():
        assert (
            2 <= len(lines_with(text, "state_not_used: ")) <= 4
        )  # one per stored generation, after the first two kills
        assert not lines_with(text, "state read: ") and "exception" not in text


@pytest.mark.fleet(14)
def test_a_front_killed_every_two_seconds_with_an_older_state_breaks_no_rule(tmp_path: Path) -> None:
    """One of six fronts is killed four times and restarts with its state folder from the start of the run."""
    faults = "\n".join(
        f"  - {{at: {3 + 2 * n}, kind: kill, part: 0.17, lasts: 0.2, state: older, settled: true}}"
        for n in range(4)
    )
    run, log_by_front = run_fleet(
        tmp_path,
        f"""
seconds: 12
fleet: {{zones: 1, fronts: 6, caches: 4, parents: 2, cache_sends: 6, noticed_s: 0.5, keeps_s: 0.3}}
faults:
{faults}
""",
    )
    figures = run.figures
    assert len(run.downs) == 4 and figures.broken == 0
    assert figures.served > 0.97 * (figures.served + figures.refused + figures.failed + figures.late)
    assert all("exception" not in text for text in log_by_front.values())

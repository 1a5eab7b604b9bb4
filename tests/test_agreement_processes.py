"""Fronts as processes that settle orders and moves among themselves, with faults between them."""

from __future__ import annotations

from pathlib import Path

from tests.agreementrig import Fronts, kept_from, steps_of, told

WORK = """
maintenance:
  floor: 0.2
  as_before: 0.3
  wishes: [{id: first, machines: [s-1]}]
"""
WHOLE = ["waiting", "draining", "empty", "out", "back", "warming", "in"]


async def worked_on(rig: Fronts) -> None:
    """Work begins once it is empty, and its order ends."""
    await rig.line("order step", machine="s-1", step="empty")
    rig.work(1, 1.0)
    await rig.line("order step", machine="s-1", step="in")


def test_an_order_for_one_cache_goes_through_all_its_steps_and_no_command_reaches_it(tmp_path: Path) -> None:
    async def story(rig: Fronts) -> None:
        await rig.leader()
        rig.wish(WORK)
        await worked_on(rig)
        assert len({line.front for line in rig.said("version adopted")}) == 5

    rig = Fronts(tmp_path, story)
    run = told(rig)
    assert not run.accused and not run.figures.broken, run.figures.first_broken
    empty, _ = kept_from(rig, 1)
    assert steps_of(rig, 1) == WHOLE
    drained = rig.said("order step", machine="s-1", step="draining")[0].at
    assert rig.commands(1, 0, drained) and rig.commands(2, empty, empty + 10**10)  # it was used before

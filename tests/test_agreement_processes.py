"""Fronts as processes that settle orders and moves among themselves, with faults between them."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Any

import pytest

from quincepier.lab.experiment import SECOND
from tests.agreementrig import EXPERIMENT, Fronts, kept_from, steps_of, told

WORK = """
maintenance:
  floor: 0.2
  as_before: 0.3
  wishes: [{id: first, machines: [s-1]}]
"""
WHOLE = ["pending", "draining", "drained", "in_maintenance", "restored", "warming", "completed"]


async def worked_on(rig: Fronts) -> None:
    """Work begins once it is empty, and its order ends."""
    await rig.line("maintenance_step", machine="s-1", step="drained")
    rig.work(1, 1.0)
    await rig.line("maintenance_step", machine="s-1", step="completed")


@pytest.mark.fleet(14)
def test_an_order_for_one_cache_goes_through_all_its_steps_and_no_command_reaches_it(tmp_path: Path) -> None:
    async def story(rig: Fronts) -> None:
        await rig.leader()
        rig.wish(WORK)
        await worked_on(rig)
        assert len({line.front for line in rig.said("version_adopted")}) == 5

    rig = Fronts(tmp_path, story)
    run = told(rig)
    assert not run.accused and not run.figures.broken, run.figures.first_broken
    empty, _ = kept_from(rig, 1)
    assert steps_of(rig, 1) == WHOLE
    drained = rig.said("maintenance_step", machine="s-1", step="draining")[0].at
    assert rig.commands(1, 0, drained) and rig.commands(2, empty, empty + 10**10)  # it was used before


def good(rig: Fronts) -> None:
    """The whole order, no command at the machine that is worked on, no rule broken by any front."""
    run = told(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    kept_from(rig, 1)
    assert steps_of(rig, 1) == WHOLE


@pytest.mark.fleet(21)
@pytest.mark.parametrize("step", ["draining", "in_maintenance"])
def test_a_leader_killed_in_the_middle_of_an_order_is_followed_by_one_that_goes_on(
    tmp_path: Path, step: str
) -> None:
    async def story(rig: Fronts) -> None:
        first = await rig.leader()
        rig.wish(WORK)
        if step == "in_maintenance":
            await rig.line("maintenance_step", machine="s-1", step="drained")
            rig.work(1, 4.0)
        await rig.line("maintenance_step", machine="s-1", step=step)
        rig.kill(first)
        second = await rig.leader(rig.now)
        assert second != first
        if step == "draining":
            await rig.line("maintenance_step", machine="s-1", step="drained")
            rig.work(1, 1.0)
        await rig.start(first)
        await rig.line("maintenance_step", machine="s-1", step="completed")

    good(Fronts(tmp_path, story))


@pytest.mark.fleet(22)
def test_halves_cut_in_the_middle_the_one_without_a_quorum_agrees_on_nothing_and_serves_on(
    tmp_path: Path,
) -> None:
    cut: list[int] = []
    few: list[tuple[int, ...]] = []

    async def story(rig: Fronts) -> None:
        first = await rig.leader()
        rig.wish(WORK)
        await rig.line("maintenance_step", machine="s-1", step="draining")
        some = (first, 3)
        others = tuple(n for n in range(5) if n not in some)
        cut.append(rig.now)
        few.append(some)
        rig.between(some, others, "cut")
        await rig.until(
            lambda: all(rig.said("cautious_mode_entered", (n,)) for n in some), "both are cautious"
        )
        await rig.leader(cut[0])
        await rig.line("maintenance_step", machine="s-1", step="drained")
        rig.work(1, 1.0)
        await rig.line("maintenance_step", machine="s-1", step="restored")
        cut.append(rig.now)
        rig.between(some, others, "cut", heal=True)
        await rig.line("maintenance_step", machine="s-1", step="completed")
        await rig.until(lambda: all(_left(rig, n) for n in some), "both have a lease again")

    def _left(rig: Fronts, n: int) -> bool:
        return any(line.at > cut[1] for line in rig.said("cautious_mode_left", (n,)))

    rig = Fronts(tmp_path, story)
    good(rig)
    since, until, alone = cut[0] + SECOND, cut[1], few[0]
    new = rig.said("version_committed", alone) + rig.said("version_adopted", alone)
    assert not [line for line in new if since < line.at < until]
    sent = [n for n in rig.notes if n[1] == "sent" and n[3] in alone and since < n[0] < until]
    assert len(sent) > 5  # they served on


@pytest.mark.fleet(22)
def test_a_leader_that_stands_still_for_five_seconds_does_no_harm_as_it_goes_on(tmp_path: Path) -> None:
    async def story(rig: Fronts) -> None:
        first = await rig.leader()
        rig.wish(WORK)
        await rig.line("maintenance_step", machine="s-1", step="draining")
        began = rig.now
        pause = asyncio.create_task(rig.pause(first, 5.0))
        assert await rig.leader(began) != first
        await rig.line("maintenance_step", machine="s-1", step="drained")
        rig.work(1, 1.0)
        await pause
        await rig.line("maintenance_step", machine="s-1", step="completed")
        await rig.until(lambda: rig.said("leadership_ended", (first,)), "it knows that it leads no more")

    good(Fronts(tmp_path, story))


@pytest.mark.fleet(23)
@pytest.mark.parametrize("lost", [False, True])
def test_all_fronts_killed_at_once_in_the_middle_of_an_order(tmp_path: Path, lost: bool) -> None:
    """With their folders the order goes on where it was; without, it is settled anew and begins anew."""
    again: list[int] = []

    async def story(rig: Fronts) -> None:
        await rig.leader()
        rig.wish(WORK)
        await rig.line("maintenance_step", machine="s-1", step="drained")
        rig.kill(*range(5))
        if lost:
            for place in rig.folder.glob("front-*/rules-*"):
                shutil.rmtree(place)
        again.append(rig.now)
        await rig.start(*range(5))
        await rig.leader(again[0])
        if lost:
            await rig.line("maintenance_step", again[0], machine="s-1", step="drained")
        rig.work(1, 1.0)
        await rig.line("maintenance_step", again[0], machine="s-1", step="completed")

    rig = Fronts(tmp_path, story)
    run = told(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    kept_from(rig, 1, again[0] if lost else 0)
    steps = [
        line.fields["step"] for line in rig.said("maintenance_step", machine="s-1") if line.at > again[0]
    ]
    assert steps == (WHOLE if lost else WHOLE[3:])


@pytest.mark.fleet(31)
def test_an_order_goes_through_with_half_a_second_of_delay_between_all_fronts(tmp_path: Path) -> None:
    async def story(rig: Fronts) -> None:
        await rig.leader()
        every = tuple(range(5))
        rig.between(every, every, "delay", size=500)
        rig.wish(WORK)
        await worked_on(rig)

    good(Fronts(tmp_path, story, lease="lease_ms: 3000"))


TENANTS_TEXT = EXPERIMENT.replace(
    "  - {name: bid,",
    "  - {name: order, share: 0.3, send_ms: 5, wanted_ms: 400, deadline_ms: 1500, worth: 2, effect: keyed,\n"
    "     objects: 60}\n  - {name: bid,",
)
SHARDS = """
tenants:
  notice_s: 5
  shards: {north: {caches: [s-3, s-4]}}
  tenants: {acme: {items: ["00000001", "00000002"]}}
"""
NORTH = (3, 4)


def keyed(rig: Fronts, caches: tuple[int, ...], since: int = 0) -> list[list[Any]]:
    """Commands at some caches of requests that may not simply be repeated; all are the tenant's."""
    jobs = {n[2] for n in rig.notes if n[1] == "asked" and n[4] == "keyed"}
    return [n for n in rig.notes if n[1] == "sent" and n[2] in jobs and n[4] in caches and n[0] > since]


@pytest.mark.fleet(15)
def test_a_move_is_rolled_back_during_a_cut_and_what_may_not_be_repeated_never_ran_at_the_new_home(
    tmp_path: Path,
) -> None:
    healed: list[int] = []
    alone: list[int] = []

    async def story(rig: Fronts) -> None:
        first = await rig.leader()
        rig.wish(SHARDS + "  moves: [{id: m1, tenant: acme, to: north}]\n")
        await rig.until(
            lambda: [m for m in rig.said("migration_step", tenant="acme") if m.fields["moved_slots"] >= 20],
            "a part of the keys goes to the new home",
        )
        begun = rig.now
        await rig.until(lambda: len({m.front for m in adopted(rig, begun)}) == 5, "all know of the move")
        some = (first, 3)
        alone.extend(some)
        rig.between(some, tuple(n for n in range(5) if n not in some), "cut")
        await rig.until(
            lambda: all(rig.said("cautious_mode_entered", (n,)) for n in some), "both are cautious"
        )
        rig.wish(SHARDS + "  moves: [{id: m1, tenant: acme, to: north, rollback: true}]\n")
        await rig.line("migration_step", tenant="acme", step="rolled_back")
        rig.between(some, tuple(n for n in range(5) if n not in some), "cut", heal=True)
        healed.append(rig.now)
        last = rig.said("version_committed")[-1].fields["number"]
        await rig.until(
            lambda: all(any(a.fields["number"] >= last for a in adopted(rig, healed[0], n)) for n in some),
            "the two that were cut off know that it is back",
        )

    def adopted(rig: Fronts, since: int, front: int | None = None) -> list[Any]:
        fronts = None if front is None else (front,)
        return [line for line in rig.said("version_adopted", fronts) if line.at > since - SECOND]

    rig = Fronts(tmp_path, story, wishes=SHARDS, text=TENANTS_TEXT, lease="span_s: 2")
    run = told(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    assert keyed(rig, (1, 2)) and not keyed(rig, NORTH)
    moved = [n for n in rig.notes if n[1] == "sent" and n[4] in NORTH]
    assert moved  # of what may be repeated a part went there

"""Fronts as processes that find each other, struck on the paths between them and by signals.

What is asserted are rules and counts; times are bounds of waiting, and of one ratio stated by the design.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from quincepier.membership import ProbeIntervals
from quincepier.membership.probe_intervals import SECOND
from tests.membershipkit import Fleet, file_of, middle

COUNT = 8
EVERYONE = range(COUNT)
NEAR, FAR = list(range(COUNT // 2)), list(range(COUNT // 2, COUNT))


def played(folder: Path, story: Callable[[Fleet], Awaitable[None]], count: int = COUNT) -> None:
    async def whole() -> None:
        async with Fleet(folder, count) as fleet:
            await fleet.see(count, 60)
            await story(fleet)
            assert not fleet.story.crashes and not fleet.void

    asyncio.run(whole())


def test_no_healthy_front_is_put_out_by_loss_a_pause_or_a_way_cut_one_sidedly(tmp_path: Path) -> None:
    """A fifth of all datagrams lost; one stopped for 0.5 and for 2 s; what one says to half is cut."""

    async def story(fleet: Fleet) -> None:
        for work in (
            lambda: fleet.path_for("loss", EVERYONE, 6, size=0.2),
            lambda: fleet.pause([0], 0.5),
            lambda: fleet.pause([1], 2),
            lambda: fleet.path_for("silent", [0], 5, way="out", apart=FAR),
        ):
            got = await fleet.struck((), work)
            assert got.wrong == 0 and not any(got.changes)

    played(tmp_path, story)


def test_a_death_is_known_to_all_as_one_change_and_so_is_its_return(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        got = await fleet.struck([7], lambda: fleet.kill([7], 6))
        assert got.wrong == 0 and len(got.known) == COUNT - 1
        # two accusations at their earliest would be a defect; the latest is that of a single accuser
        intervals = ProbeIntervals()
        assert intervals.min_suspicion_timeout_ns / SECOND < middle(got.known)
        assert middle(got.known) < intervals.max_suspicion_timeout_ns / SECOND
        assert set(got.changes) == {2}  # it went, it came

    played(tmp_path, story)


def test_halves_that_are_cut_see_themselves_and_become_one_again(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        fleet.fault("cut", NEAR, apart=FAR)
        await fleet.see(COUNT // 2, 30)
        halves = [c for c in fleet.changes() if c.removed]
        for half in (NEAR, FAR):
            others = {f"n{n}" for n in EVERYONE if n not in half}
            for n in half:
                went = [name for c in halves if c.front == n for name in c.removed]
                assert sorted(went) == sorted(others), "just the other half, each once"
        fleet.fault("cut", NEAR, heal=True, apart=FAR)
        await fleet.see(COUNT, 60)

    played(tmp_path, story)


def test_most_are_killed_and_come_back_and_one_that_stood_still_is_alone_until_it_hears_others(
    tmp_path: Path,
) -> None:
    """Five of eight killed; then one stopped for 10 s: it is put out, and sees itself alone till it hears."""

    async def story(fleet: Fleet) -> None:
        dead = [3, 4, 5, 6, 7]
        got = await fleet.struck(dead, lambda: fleet.kill(dead, 9))
        assert got.wrong == 0 and len(got.known) == 3 * len(dead)
        got = await fleet.struck([2], lambda: fleet.pause([2], 10))
        assert got.wrong == 0 and len(got.known) == COUNT - 1 and set(got.changes) == {2}
        alone = [c for c in fleet.changes() if c.front == 2 and c.members == 1]
        assert len(alone) == 1 and len(alone[0].removed) == COUNT - 1

    played(tmp_path, story)


def test_who_leaves_is_out_at_once_and_a_front_without_a_place_says_what_to_write(tmp_path: Path) -> None:
    async def story(fleet: Fleet) -> None:
        told = fleet.fronts[0].told
        assert told is not None
        left = asyncio.create_task(fleet.fronts[2].term())
        await fleet.see(2, 20, of=(0, 1))
        await left
        assert [c.removed for c in fleet.changes() if c.front != 2 and c.removed] == [("n2",), ("n2",)]
        await fleet.fronts[0].term()
        told.write_text(file_of(0, fleet).replace("n0: ", "other: "))
        await fleet.fronts[0].start()
        log = (fleet.fronts[0].folder / "log").read_text()
        assert "QP-PEERS" in log and "no place for a front named 'n0'" in log
        fleet.story.crashes.clear()  # that one was meant to end

    played(tmp_path, story, 3)

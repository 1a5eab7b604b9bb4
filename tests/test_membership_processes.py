"""Membership of real processes, with faults on the network paths between them and with signals.

The tests assert rules and counts. Times are only timeouts of waiting, and bounds on the detection time by the
design.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from quincepier.membership import ProbeIntervals
from quincepier.membership.probe_intervals import SECOND
from tests.membershipkit import Fleet, median, operators_file

COUNT = 8
ALL_FRONTS = range(COUNT)
FIRST_HALF, SECOND_HALF = list(range(COUNT // 2)), list(range(COUNT // 2, COUNT))


def run_scenario(folder: Path, scenario: Callable[[Fleet], Awaitable[None]], count: int = COUNT) -> None:
    async def run() -> None:
        async with Fleet(folder, count) as fleet:
            await fleet.wait_for_views(count, 60)
            await scenario(fleet)
            assert not fleet.record.crashes and not fleet.void

    asyncio.run(run())


@pytest.mark.fleet(27)
def test_loss_a_pause_or_a_one_way_partition_removes_no_healthy_front(tmp_path: Path) -> None:
    """20% datagram loss, a front paused for 0.5 s, another for 2 s, and one whose data to half is lost."""

    async def scenario(fleet: Fleet) -> None:
        for inject in (
            lambda: fleet.inject_path_fault("loss", ALL_FRONTS, 6, size=0.2),
            lambda: fleet.pause([0], 0.5),
            lambda: fleet.pause([1], 2),
            lambda: fleet.inject_path_fault("silent", [0], 5, way="out", apart=SECOND_HALF),
        ):
            effect = await fleet.measure_effect(inject)
            assert effect.wrong_removals == 0 and not any(effect.changes)

    run_scenario(tmp_path, scenario)


@pytest.mark.fleet(12)
def test_a_death_is_one_change_of_each_view_and_so_is_the_return(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        effect = await fleet.measure_effect(lambda: fleet.kill([7], 6), faulty=[7])
        assert effect.wrong_removals == 0 and len(effect.detection_s) == COUNT - 1
        # detection must take longer than the shortest suspicion timeout and less than the longest one
        intervals = ProbeIntervals()
        assert intervals.min_suspicion_timeout_ns / SECOND < median(effect.detection_s)
        assert median(effect.detection_s) < intervals.max_suspicion_timeout_ns / SECOND
        assert set(effect.changes) == {2}  # removed and joined again

    run_scenario(tmp_path, scenario)


@pytest.mark.fleet(13)
def test_each_half_of_a_partition_has_its_own_view_and_they_merge_again(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.set_fault("cut", FIRST_HALF, apart=SECOND_HALF)
        await fleet.wait_for_views(COUNT // 2, 30)
        changes = [change for change in fleet.changes() if change.removed]
        for half in (FIRST_HALF, SECOND_HALF):
            others = {f"n{n}" for n in ALL_FRONTS if n not in half}
            for n in half:
                removed = [name for change in changes if change.front == n for name in change.removed]
                assert sorted(removed) == sorted(others), "only the other half, each front once"
        fleet.set_fault("cut", FIRST_HALF, heal=True, apart=SECOND_HALF)
        await fleet.wait_for_views(COUNT, 60)

    run_scenario(tmp_path, scenario)


@pytest.mark.fleet(33)
def test_most_fronts_are_killed_and_restarted_and_a_paused_front_is_isolated_until_a_message(
    tmp_path: Path,
) -> None:
    """Five of eight fronts are killed; then one paused for 10 s is removed, and isolated as it resumes."""

    async def scenario(fleet: Fleet) -> None:
        killed = [3, 4, 5, 6, 7]
        effect = await fleet.measure_effect(lambda: fleet.kill(killed, 9), faulty=killed)
        assert effect.wrong_removals == 0 and len(effect.detection_s) == 3 * len(killed)
        effect = await fleet.measure_effect(lambda: fleet.pause([2], 10), faulty=[2])
        assert effect.wrong_removals == 0 and len(effect.detection_s) == COUNT - 1
        assert set(effect.changes) == {2}
        isolated = [change for change in fleet.changes() if change.front == 2 and change.members == 1]
        assert len(isolated) == 1 and len(isolated[0].removed) == COUNT - 1

    run_scenario(tmp_path, scenario)


@pytest.mark.fleet(3)
def test_a_leave_removes_at_once_and_a_front_without_an_endpoint_logs_what_to_write(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        file = fleet.fronts[0].operators_file
        assert file is not None
        leaving = asyncio.create_task(fleet.fronts[2].term())
        await fleet.wait_for_views(2, 20, observers=(0, 1))
        await leaving
        removals = [change.removed for change in fleet.changes() if change.front != 2 and change.removed]
        assert removals == [("n2",), ("n2",)]
        await fleet.fronts[0].term()
        file.write_text(operators_file(0, fleet).replace("n0: ", "other: "))
        await fleet.fronts[0].start()
        log = (fleet.fronts[0].folder / "log").read_text()
        assert "QP-PEERS" in log and "no endpoint for a front named 'n0'" in log
        fleet.record.crashes.clear()  # this exit is expected

    run_scenario(tmp_path, scenario, 3)

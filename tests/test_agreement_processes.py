"""Front processes that agree on maintenance and migrations, with faults injected between them."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Any

import pytest

from quincepier.lab.experiment import SECOND
from tests.agreementrig import (
    EXPERIMENT,
    FrontFleet,
    check_no_commands_during_maintenance,
    run_scenario,
    steps_of_task,
)

MAINTENANCE_SECTION = """
maintenance:
  floor: 0.2
  as_before: 0.3
  wishes: [{id: first, machines: [s-1]}]
"""
ALL_STEPS = ["pending", "draining", "drained", "in_maintenance", "restored", "warming", "completed"]


async def do_maintenance(rig: FrontFleet) -> None:
    """Start the work once the cache is drained, and wait until its task is completed."""
    await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
    rig.start_work(1, 1.0)
    await rig.wait_for_line("maintenance_step", machine="s-1", step="completed")


@pytest.mark.fleet(14)
def test_a_maintenance_task_goes_through_all_its_steps_and_no_command_reaches_the_cache(
    tmp_path: Path,
) -> None:
    async def scenario(rig: FrontFleet) -> None:
        await rig.wait_for_leader()
        rig.set_sections(MAINTENANCE_SECTION)
        await do_maintenance(rig)
        assert len({line.front for line in rig.find_lines("version_adopted")}) == 5

    rig = FrontFleet(tmp_path, scenario)
    run = run_scenario(rig)
    assert not run.accused and not run.figures.broken, run.figures.first_broken
    drained, _ = check_no_commands_during_maintenance(rig, 1)
    assert steps_of_task(rig, 1) == ALL_STEPS
    draining = rig.find_lines("maintenance_step", machine="s-1", step="draining")[0].at
    # The cache was used before, and another one is used during the work.
    assert rig.commands_at(1, 0, draining) and rig.commands_at(2, drained, drained + 10**10)


def check_whole_task(rig: FrontFleet) -> None:
    """Check that all steps were completed, no command reached the cache during the work, no rule broke."""
    run = run_scenario(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    check_no_commands_during_maintenance(rig, 1)
    assert steps_of_task(rig, 1) == ALL_STEPS


@pytest.mark.fleet(21)
@pytest.mark.parametrize("step", ["draining", "in_maintenance"])
def test_a_leader_killed_in_the_middle_of_a_task_is_followed_by_one_that_goes_on(
    tmp_path: Path, step: str
) -> None:
    async def scenario(rig: FrontFleet) -> None:
        first = await rig.wait_for_leader()
        rig.set_sections(MAINTENANCE_SECTION)
        if step == "in_maintenance":
            await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
            rig.start_work(1, 4.0)
        await rig.wait_for_line("maintenance_step", machine="s-1", step=step)
        rig.kill(first)
        second = await rig.wait_for_leader(rig.now_ns)
        assert second != first
        if step == "draining":
            await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
            rig.start_work(1, 1.0)
        await rig.restart(first)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="completed")

    check_whole_task(FrontFleet(tmp_path, scenario))


@pytest.mark.fleet(22)
def test_a_minority_cut_off_in_the_middle_of_a_task_commits_nothing_and_serves_on(
    tmp_path: Path,
) -> None:
    fault_times: list[int] = []
    minorities: list[tuple[int, ...]] = []

    async def scenario(rig: FrontFleet) -> None:
        first = await rig.wait_for_leader()
        rig.set_sections(MAINTENANCE_SECTION)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="draining")
        minority = (first, 3)
        majority = tuple(n for n in range(5) if n not in minority)
        fault_times.append(rig.now_ns)
        minorities.append(minority)
        rig.set_network_fault(minority, majority, "cut")
        await rig.wait_until(
            lambda: all(rig.find_lines("cautious_mode_entered", (n,)) for n in minority), "both are cautious"
        )
        await rig.wait_for_leader(fault_times[0])
        await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
        rig.start_work(1, 1.0)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="restored")
        fault_times.append(rig.now_ns)
        rig.set_network_fault(minority, majority, "cut", heal=True)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="completed")
        await rig.wait_until(lambda: all(has_left(rig, n) for n in minority), "both hold a lease again")

    def has_left(rig: FrontFleet, n: int) -> bool:
        return any(line.at > fault_times[1] for line in rig.find_lines("cautious_mode_left", (n,)))

    rig = FrontFleet(tmp_path, scenario)
    check_whole_task(rig)
    since, until = fault_times[0] + SECOND, fault_times[1]
    minority = minorities[0]
    new = rig.find_lines("version_committed", minority) + rig.find_lines("version_adopted", minority)
    assert not [line for line in new if since < line.at < until]
    sent = [n for n in rig.notes if n[1] == "sent" and n[3] in minority and since < n[0] < until]
    assert len(sent) > 5  # they continued to serve


@pytest.mark.fleet(22)
def test_a_leader_paused_for_five_seconds_does_no_harm_as_it_goes_on(tmp_path: Path) -> None:
    async def scenario(rig: FrontFleet) -> None:
        first = await rig.wait_for_leader()
        rig.set_sections(MAINTENANCE_SECTION)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="draining")
        paused_at = rig.now_ns
        pause = asyncio.create_task(rig.pause(first, 5.0))
        assert await rig.wait_for_leader(paused_at) != first
        await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
        rig.start_work(1, 1.0)
        await pause
        await rig.wait_for_line("maintenance_step", machine="s-1", step="completed")
        await rig.wait_until(
            lambda: rig.find_lines("leadership_ended", (first,)), "it knows that it is no longer the leader"
        )

    check_whole_task(FrontFleet(tmp_path, scenario))


@pytest.mark.fleet(23)
@pytest.mark.parametrize("folders_lost", [False, True])
def test_all_fronts_killed_at_once_in_the_middle_of_a_task(tmp_path: Path, folders_lost: bool) -> None:
    """With their folders the task continues; without them it is planned again from the beginning."""
    restart_times: list[int] = []

    async def scenario(rig: FrontFleet) -> None:
        await rig.wait_for_leader()
        rig.set_sections(MAINTENANCE_SECTION)
        await rig.wait_for_line("maintenance_step", machine="s-1", step="drained")
        rig.kill(*range(5))
        if folders_lost:
            for folder in rig.folder.glob("front-*/rules-*"):
                shutil.rmtree(folder)
        restart_times.append(rig.now_ns)
        await rig.restart(*range(5))
        await rig.wait_for_leader(restart_times[0])
        if folders_lost:
            await rig.wait_for_line("maintenance_step", restart_times[0], machine="s-1", step="drained")
        rig.start_work(1, 1.0)
        await rig.wait_for_line("maintenance_step", restart_times[0], machine="s-1", step="completed")

    rig = FrontFleet(tmp_path, scenario)
    run = run_scenario(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    check_no_commands_during_maintenance(rig, 1, restart_times[0] if folders_lost else 0)
    steps = [
        line.fields["step"]
        for line in rig.find_lines("maintenance_step", machine="s-1")
        if line.at > restart_times[0]
    ]
    assert steps == (ALL_STEPS if folders_lost else ALL_STEPS[3:])


@pytest.mark.fleet(31)
def test_a_task_is_completed_with_half_a_second_of_delay_between_all_fronts(tmp_path: Path) -> None:
    async def scenario(rig: FrontFleet) -> None:
        await rig.wait_for_leader()
        all_fronts = tuple(range(5))
        rig.set_network_fault(all_fronts, all_fronts, "delay", size=500)
        rig.set_sections(MAINTENANCE_SECTION)
        await do_maintenance(rig)

    check_whole_task(FrontFleet(tmp_path, scenario, agreement_settings="lease_ms: 3000"))


EXPERIMENT_WITH_TENANT = EXPERIMENT.replace(
    "  - {name: bid,",
    "  - {name: order, share: 0.3, send_ms: 5, wanted_ms: 400, deadline_ms: 1500, worth: 2, effect: keyed,\n"
    "     objects: 60}\n  - {name: bid,",
)
TENANTS_SECTION = """
tenants:
  notice_s: 5
  shards: {north: {caches: [s-3, s-4]}}
  tenants: {acme: {items: ["00000001", "00000002"]}}
"""
NORTH_CACHES = (3, 4)


def unsafe_commands_at(rig: FrontFleet, caches: tuple[int, ...], since: int = 0) -> list[list[Any]]:
    """Return commands of unsafe requests at some caches; all of these requests are the tenant's."""
    jobs = {n[2] for n in rig.notes if n[1] == "asked" and n[4] == "keyed"}
    return [n for n in rig.notes if n[1] == "sent" and n[2] in jobs and n[4] in caches and n[0] > since]


@pytest.mark.fleet(15)
def test_a_migration_is_rolled_back_during_a_partition_and_no_unsafe_request_ran_at_the_target_shard(
    tmp_path: Path,
) -> None:
    healed_at: list[int] = []

    async def scenario(rig: FrontFleet) -> None:
        first = await rig.wait_for_leader()
        rig.set_sections(TENANTS_SECTION + "  moves: [{id: m1, tenant: acme, to: north}]\n")
        await rig.wait_until(
            lambda: [
                m for m in rig.find_lines("migration_step", tenant="acme") if m.fields["moved_slots"] >= 20
            ],
            "some of the keys go to the target shard",
        )
        started_at = rig.now_ns
        await rig.wait_until(
            lambda: len({m.front for m in adopted(rig, started_at)}) == 5, "all know of the migration"
        )
        await rig.wait_until(lambda: sent_to_north(rig.read_notes()), "a safe request goes to the target")
        minority = (first, 3)
        majority = tuple(n for n in range(5) if n not in minority)
        rig.set_network_fault(minority, majority, "cut")
        await rig.wait_until(
            lambda: all(rig.find_lines("cautious_mode_entered", (n,)) for n in minority), "both are cautious"
        )
        rig.set_sections(TENANTS_SECTION + "  moves: [{id: m1, tenant: acme, to: north, rollback: true}]\n")
        await rig.wait_for_line("migration_step", tenant="acme", step="rolled_back")
        rig.set_network_fault(minority, majority, "cut", heal=True)
        healed_at.append(rig.now_ns)
        last = rig.find_lines("version_committed")[-1].fields["number"]
        await rig.wait_until(
            lambda: all(
                any(a.fields["number"] >= last for a in adopted(rig, healed_at[0], n)) for n in minority
            ),
            "both fronts of the minority know of the rollback",
        )

    def sent_to_north(notes: list[list[Any]]) -> list[list[Any]]:
        return [n for n in notes if n[1] == "sent" and n[4] in NORTH_CACHES]

    def adopted(rig: FrontFleet, since: int, front: int | None = None) -> list[Any]:
        fronts = None if front is None else (front,)
        return [line for line in rig.find_lines("version_adopted", fronts) if line.at > since - SECOND]

    rig = FrontFleet(
        tmp_path,
        scenario,
        sections=TENANTS_SECTION,
        experiment_text=EXPERIMENT_WITH_TENANT,
        agreement_settings="span_s: 2",
    )
    run = run_scenario(rig)
    assert not run.accused and not run.figures.broken, (run.accused, run.figures.first_broken)
    assert unsafe_commands_at(rig, (1, 2)) and not unsafe_commands_at(rig, NORTH_CACHES)
    assert sent_to_north(rig.notes)  # some of the safe requests went there

"""Invariants of maintenance and leases: complete exploration of small cases, with a mutant for each rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

import pytest

from quincepier.lab.maintenance_simulation import MS, SECOND, Faults
from quincepier.lab.maintenance_simulation import MaintenanceSimulation as SimulatedFleet
from quincepier.maintenance import UnavailableLimits, disruption_budget, draining, planner, task_progress
from quincepier.rules import MaintenanceStep, lease_holder, lease_table, lease_timings
from tests import maintenancekit as kit
from tests import maintenancemodel as model


# Explorations of the model: leases only, two fronts one of which is partitioned, and a run of all steps.
def explore_leases(components: model.Components) -> int:
    return kit.explore(components, 1, 9, faults=1, with_tasks=False)


def explore_partition(components: model.Components) -> int:
    return kit.explore(components, 2, 1)


def explore_run(components: model.Components) -> int:
    return kit.explore(components, 1, 4, faults=1)


# Functions that build the model's components from a module with replaced source text.
def mutate_lease_holder(replacements: dict[str, str]) -> model.Components:
    return model.Components(lease_holder=kit.load_mutant(lease_holder, replacements).LeaseHolder)


def mutate_lease_timings(replacements: dict[str, str]) -> model.Components:
    mutant = kit.load_mutant(lease_timings, replacements)
    timings = {field.name: getattr(model.TIMINGS, field.name) for field in fields(model.TIMINGS)}
    return model.Components(timings=mutant.LeaseTimings(**timings))


def mutate_lease_table(replacements: dict[str, str]) -> model.Components:
    return model.Components(lease_table=kit.load_mutant(lease_table, replacements).LeaseTable)


def mutate_task_progress(replacements: dict[str, str]) -> model.Components:
    mutant = kit.load_mutant(task_progress, replacements)
    names = ("Enter", "TaskContext", "Wait", "next_progress")
    return planner_with(**{name: getattr(mutant, name) for name in names})


def mutate_disruption_budget(replacements: dict[str, str]) -> model.Components:
    mutant = kit.load_mutant(disruption_budget, replacements)
    return planner_with(DisruptionBudget=mutant.DisruptionBudget)


def planner_with(**attributes: Any) -> model.Components:
    return model.Components(plan=kit.load_mutant(planner, {}, **attributes).plan)


def mutate_draining(replacements: dict[str, str]) -> model.Components:
    return model.Components(cordoned_hosts=kit.load_mutant(draining, replacements).cordoned_hosts)


@dataclass(frozen=True)
class Mutant:
    """A removed rule, and the exploration that must detect its removal."""

    mutate: Callable[[dict[str, str]], model.Components]
    replacements: dict[str, str]
    explore: Callable[[model.Components], int]


NEVER = "if False:"

MUTANTS = {
    "the lease counts from the answer": Mutant(
        mutate_lease_holder, {"requested_at_ns + lease_ns": "now_ns + lease_ns"}, explore_leases
    ),
    "a process pause is not noticed": Mutant(
        mutate_lease_holder, {"return now_ns >= self.lease_until_ns or": "return False or"}, explore_leases
    ),
    "the leader counts as long as the front": Mutant(
        mutate_lease_timings,
        {"return duration_ns + int(duration_ns * self.clock_drift_margin) + 1": "return duration_ns"},
        explore_leases,
    ),
    "a new leader does not wait": Mutant(
        mutate_lease_table,
        {"self.elected_at_ns = elected_at_ns": "self.elected_at_ns = -(10**12)"},
        explore_leases,
    ),
    "open attempts are not waited for": Mutant(
        mutate_lease_table,
        {"return all(lease.lease_until_ns > now_ns or now_ns >= lease.idle_at_ns": "return all(True"},
        explore_partition,
    ),
    "a drain starts before all fronts know of it": Mutant(
        mutate_task_progress,
        {"if context.acknowledged_number < task.since_version:": NEVER},
        explore_partition,
    ),
    "drained before the drain is in force": Mutant(
        mutate_task_progress,
        {
            "if context.observations.active_number < task.since_version:": NEVER,
            "if report.version_number < task.since_version:": NEVER,
        },
        explore_run,
    ),
    "drained whatever is open": Mutant(
        mutate_task_progress,
        {"any(host == task.target and count": "any(False and count"},
        explore_run,
    ),
    "drained whatever fronts without a lease have open": Mutant(
        mutate_task_progress, {"if not observations.unleased_fronts_idle:": NEVER}, explore_partition
    ),
    "warming machines do not count": Mutant(
        mutate_disruption_budget,
        {
            "task.is_unavailable or (include_pending and task.is_active)": (
                "task.is_cordoned or (include_pending and task.is_cordoned)"
            ),
            "machine.uptime_ms < machine.warm_up_ms": "False",
        },
        explore_run,
    ),
    "a front without a lease avoids cordoned machines only": Mutant(
        mutate_draining,
        {"or (is_cautious and task.is_active": "or (is_cautious and task.is_cordoned"},
        explore_partition,
    ),
    "a front that started serves at once": Mutant(
        mutate_lease_holder, {"return not self.has_first_answer": "return False"}, explore_run
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_exploring_small_cases_finds_a_rule_that_was_taken_out(name: str) -> None:
    mutant = MUTANTS[name]
    with pytest.raises(model.InvariantViolatedError):
        mutant.explore(mutant.mutate(mutant.replacements))


def test_no_order_of_messages_ticks_and_faults_violates_an_invariant() -> None:
    for explore in (explore_leases, explore_partition, explore_run):
        assert explore(model.Components()) > 1000
    walks_by_step = kit.count_steps_of_walks(model.Components(), 2, 60, 150, 1)
    steps = [step for step in MaintenanceStep if step is not MaintenanceStep.CANCELLED]
    assert min(walks_by_step.get(step.name, 0) for step in steps) > 0


@pytest.mark.parametrize(
    "faults",
    [
        Faults(max_delay=300 * MS, loss_rate=0.2),
        Faults(partitioned_share=0.25),
        Faults(paused_share=0.5),
        Faults(kill_leader_at=MaintenanceStep.DRAINING),
    ],
)
def test_a_simulated_fleet_keeps_the_rules_through_faults(faults: Faults) -> None:
    limits = UnavailableLimits(1, 1)
    fleet = SimulatedFleet(8, 3, faults, machines=4, zones=2, unavailable_limits=limits)
    found = fleet.run(200 * SECOND)
    assert (
        found.duration_s > 0
        and found.commands_in_maintenance == 0
        and found.max_unavailable == 1
        and found.commands_sent > 500
    )


def test_without_agreement_partitioned_fronts_send_to_machines_under_work() -> None:
    fleet = SimulatedFleet(8, 3, Faults(partitioned_share=0.5), machines=4, zones=2, agreed=False)
    assert fleet.run(200 * SECOND).commands_in_maintenance > 0

"""The rules of the write pause: complete exploration of a small model, with a mutant for each rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from quincepier.lab.migration_simulation import MigrationSimulation
from quincepier.rules import (
    Migration,
    MigrationStep,
    Observations,
)
from quincepier.tenancy import (
    RequestPlacement,
    migration,
    place_request,
    placement,
    ramp_up,
)
from tests import tenancykit as kit
from tests.tenancykit import Exploration, ExplorationSettings


def place_retries_as_first_attempts(
    migration: Migration, slot: int, is_safe: bool, is_retry: bool, is_cautious: bool
) -> RequestPlacement:
    return place_request(migration, slot, is_safe, False, is_cautious)


def accept_retries_while_pausing(
    migration: Migration, slot: int, is_safe: bool, is_retry: bool, is_cautious: bool
) -> RequestPlacement:
    if migration.step is MigrationStep.PAUSING_WRITES:
        return RequestPlacement(migration.source_shard, is_cautious)
    return place_request(migration, slot, is_safe, is_retry, is_cautious)


def accept_retries_while_rolling_back(
    migration: Migration, slot: int, is_safe: bool, is_retry: bool, is_cautious: bool
) -> RequestPlacement:
    if migration.step is MigrationStep.ROLLING_BACK:
        return RequestPlacement(migration.source_shard, is_cautious)
    return place_request(migration, slot, is_safe, is_retry, is_cautious)


@dataclass(frozen=True)
class Mutant:
    """A removed rule: by the settings of the exploration, or by replaced functions."""

    settings: ExplorationSettings = field(default_factory=lambda: ExplorationSettings(faults=frozenset()))
    place_request: Callable[..., RequestPlacement] = place_request
    is_in_force: Callable[[Migration, Observations], bool] = migration.is_in_force


MUTANTS = {
    "cutover before the write pause is in force": Mutant(is_in_force=lambda migration, observations: True),
    "no write pause": Mutant(ExplorationSettings(write_pause_ticks=0, faults=frozenset())),
    "write pause without the delivery delay": Mutant(
        ExplorationSettings(write_pause_ticks=kit.DEDUPLICATION_TICKS, faults=frozenset())
    ),
    "retries run as first attempts do": Mutant(place_request=place_retries_as_first_attempts),
    "the write pause rejects no retries": Mutant(place_request=accept_retries_while_pausing),
    "without a lease as with one": Mutant(ExplorationSettings(respects_lease=False, faults=frozenset())),
    "a migration that some may not know of": Mutant(
        ExplorationSettings(grace_period_ticks=0, faults=frozenset())
    ),
    "no grace period without a lease": Mutant(
        ExplorationSettings(respects_grace_period=False, faults=frozenset())
    ),
    "rolled back, and retries at once": Mutant(
        ExplorationSettings(faults=frozenset({"rollback"})), accept_retries_while_rolling_back
    ),
}


@pytest.fixture
def single_ramp_up_step(monkeypatch: pytest.MonkeyPatch) -> None:
    # Few large steps: the rules do not depend on step sizes.
    monkeypatch.setattr(ramp_up, "STEP_SIZES", (128,) * 6)


def test_no_unsafe_request_runs_at_both_shards_in_any_order_of_events(single_ramp_up_step: None) -> None:
    found = Exploration(ExplorationSettings(faults=frozenset())).explore()
    assert found.violation == [] and found.states > 10_000
    assert found.reached_steps == set(range(MigrationStep.COMPLETED + 1))


@pytest.mark.parametrize("name", MUTANTS)
def test_each_rule_is_needed(name: str, single_ramp_up_step: None, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant = MUTANTS[name]
    monkeypatch.setattr(placement, "place_request", mutant.place_request)
    monkeypatch.setattr(migration, "is_in_force", mutant.is_in_force)
    found = Exploration(mutant.settings).explore(150_000)
    assert found.violation and found.violation[-1].startswith("runs at"), (name, found)


def test_a_simulated_migration_starts_rejects_no_first_attempt_and_is_reproducible() -> None:
    first, second = (MigrationSimulation(5, 3, "steps").run(rate=100, warm=90, lasts=40) for _ in range(2))
    assert first == second and first.step in ("RAMPING_UP", "VERIFYING") and first.gaps_ms == []

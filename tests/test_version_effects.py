"""Effects of a rule version on the router, in one process: cordoned machines, placements, cautious mode."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from quincepier import clock
from quincepier.interface import EndpointState, EndpointUpdate, UpdateScope
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.net.fleet.version_store import VersionStore
from quincepier.rules import RulesError, RuleVersion
from quincepier.tenancy import TenancyError
from tests.fleetkit import (
    DRAINING_TASK,
    PENDING_TASK,
    deliver_version,
    grant_lease,
    make_endpoint,
    make_front,
    make_version,
)

DRAINING = make_endpoint(1, EndpointState.DRAINING)
READY = make_endpoint(1, EndpointState.READY)


class UncheckedLeaseEffects(VersionEffects):
    """Mutant: the lease is not checked before a decision."""

    def before_event(self, now_ns: int) -> None: ...

    def are_decisions_stale(self) -> bool:
        return False


@pytest.mark.parametrize("effects_type", [VersionEffects, UncheckedLeaseEffects])
def test_a_front_whose_lease_ended_avoids_machines_with_active_tasks_before_its_next_decision(
    effects_type: Any,
) -> None:
    effects, follower, updates = make_front(effects_type=effects_type)
    deliver_version(follower, make_version(2, PENDING_TASK))
    effects.apply()
    grant_lease(follower, 2)
    effects.apply()
    assert not effects.is_cautious and not effects.are_decisions_stale()
    assert not updates[-1].endpoints[0].state.value
    follower.lease.lease_until_ns = clock.boot()  # as after a process pause
    is_protected = effects.are_decisions_stale()
    effects.before_event(clock.now())
    is_protected = is_protected and updates[-1].endpoints == (DRAINING,)
    assert is_protected is (effects_type is VersionEffects)


def test_a_restart_during_a_task_avoids_the_machines_of_the_stored_version(tmp_path: Path) -> None:
    store = VersionStore(str(tmp_path))
    assert store.load() is None
    store.save(make_version(5, PENDING_TASK))
    effects, follower, updates = make_front(store.load())
    effects.apply()
    assert updates[-1].endpoints[0].state is EndpointState.DRAINING
    assert effects.report().version_number == 0
    deliver_version(follower, make_version(6))
    effects.apply()
    assert updates[-1].endpoints == (READY,)
    (tmp_path / "adopted").write_bytes(b"damaged")
    with pytest.raises(RulesError):
        store.load()


def test_an_older_version_received_at_a_start_does_not_replace_the_stored_version() -> None:
    """A voter reads version 4 from its incomplete log; its earlier incarnation was granted version 5."""
    effects, follower, updates = make_front(make_version(5, DRAINING_TASK))
    effects.apply()
    deliver_version(follower, make_version(4))
    effects.apply()
    assert updates[-1].endpoints == (DRAINING,) and effects.applied_number == 5
    grant_lease(follower, 4)  # the voters have lost version 5: their response counts
    effects.apply()
    assert updates[-1].endpoints == (READY,) and effects.applied_number == 4


def test_a_change_log_event_does_not_end_a_task() -> None:
    effects, follower, _ = make_front()
    deliver_version(follower, make_version(2, DRAINING_TASK))
    grant_lease(follower, 2)
    effects.apply()
    update = effects.override_list(EndpointUpdate(UpdateScope.CHANGES, (READY,)))
    assert update.endpoints[0].state is EndpointState.DRAINING


def test_a_version_whose_placements_are_unusable_gives_no_lease_and_its_tasks_are_in_force() -> None:
    effects, follower, updates = make_front()
    placed: list[tuple[int, bool, bool]] = []

    def placement_table(version: RuleVersion, is_cautious: bool, may_lack_migrations: bool) -> Any:
        if version.number == 3:
            raise TenancyError("a cache is in two shards", "rule version 3")
        return placed.append((version.number, is_cautious, may_lack_migrations))

    effects.active_rules.placement_table = placement_table
    deliver_version(follower, make_version(2))
    grant_lease(follower, 2)
    effects.apply()
    deliver_version(follower, make_version(3, DRAINING_TASK))
    effects.apply()
    effects.apply()
    report = effects.report()
    assert effects.is_cautious and report.version_number == 2 and report.is_cautious
    assert updates[-1].endpoints == (DRAINING,)
    assert placed == [(2, False, False), (2, True, True)]  # unsafe requests are rejected
    deliver_version(follower, make_version(4, DRAINING_TASK))
    grant_lease(follower, 4)
    effects.apply()
    assert not effects.is_cautious and effects.report().version_number == 4


class UnrevokedAttemptEffects(VersionEffects):
    """Mutant: unsafe attempts decided under an ended lease are not revoked."""

    def _revoke_unsafe_attempts(self) -> None: ...


@pytest.mark.parametrize("effects_type", [VersionEffects, UnrevokedAttemptEffects])
def test_an_unsafe_attempt_that_is_not_written_does_not_outlast_the_lease(effects_type: Any) -> None:
    """After a process pause the node's tick may run before the writer, which checks the lease."""
    effects, follower, _ = make_front(effects_type=effects_type)
    taken_back: list[str] = []
    effects.active_rules.is_unsafe_class = [True, False]
    effects.module.revoke_attempt = taken_back.append
    for number, (tenant, class_index) in enumerate((("acme", 0), ("acme", 1), ("", 0))):
        effects.module.requests.request_by_number[number] = SimpleNamespace(
            tenant=tenant, class_index=class_index, attempts=[f"{tenant} {class_index}"]
        )
    deliver_version(follower, make_version(2))
    grant_lease(follower, 2)
    effects.apply()
    assert not effects.is_cautious and not taken_back
    follower.lease.lease_until_ns = clock.boot()
    effects.apply()
    effects.apply()
    assert not effects.are_decisions_stale()
    assert (taken_back == ["acme 0"]) is (effects_type is VersionEffects)

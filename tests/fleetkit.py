"""Helpers that make voters, versions, reports, machines and fronts for the tests of quincepier/net/fleet."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec

from quincepier import clock
from quincepier.checks import Checks
from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, Idempotency
from quincepier.maintenance import cordoned_hosts
from quincepier.net.fleet.follower import Follower
from quincepier.net.fleet.messages import LeaseGranted, VersionCommitted
from quincepier.net.fleet.version_effects import VersionEffects
from quincepier.rules import (
    FrontReport,
    LeaseGrant,
    LeaseTimings,
    MaintenanceStep,
    MaintenanceTask,
    RuleVersion,
    encode_version,
    initial_version,
)

VOTERS = ("a", "b", "c")
TIMINGS = LeaseTimings(lease_ns=1000 * clock.MS, request_interval_ns=250 * clock.MS)
HOST_BY_NUMBER = {number: f"s-{number}" for number in range(1, 5)}
DRAINING_TASK = MaintenanceTask("w", "s-1", "cache", "z1", MaintenanceStep.DRAINING, 0)
PENDING_TASK = msgspec.structs.replace(DRAINING_TASK, step=MaintenanceStep.PENDING)


def make_version(number: int, *tasks: MaintenanceTask) -> RuleVersion:
    return msgspec.structs.replace(initial_version(), number=number, term=1, maintenance_tasks=tasks)


def make_report(front: str, number: int, digest: str = "") -> FrontReport:
    return FrontReport(front, 1, number, digest or make_version(number).digest, False, 0)


def make_endpoint(number: int, state: EndpointState) -> Endpoint:
    return Endpoint(number, 0, 1, 0, 1.0, 0, state)


def make_front(
    stored: RuleVersion | None = None, effects_type: Any = VersionEffects
) -> tuple[Any, Follower, list[EndpointUpdate]]:
    """Return version effects, their follower, and the list of endpoint updates that the router receives."""
    updates: list[EndpointUpdate] = []
    classes = (SimpleNamespace(effect=Idempotency.SAFE, worth=1.0, on_time=clock.SECOND),)
    entry_by_host = {
        host: SimpleNamespace(
            machine=make_endpoint(number, EndpointState.READY), record=SimpleNamespace(host=host)
        )
        for number, host in HOST_BY_NUMBER.items()
    }
    module: Any = SimpleNamespace(
        checks=Checks(),
        directory=SimpleNamespace(host_by_number=HOST_BY_NUMBER, entry_by_host=entry_by_host),
        config=SimpleNamespace(settings=SimpleNamespace(classes=classes)),
        router=SimpleNamespace(find_home=None, placement=SimpleNamespace(table=SimpleNamespace(by_id={}))),
        requests=SimpleNamespace(request_by_number={}),
        apply_endpoint_update=updates.append,
    )
    active_rules: Any = SimpleNamespace(
        cordoned_hosts=lambda version, is_cautious: cordoned_hosts(version, is_cautious, "f"),
        placement_table=lambda *arguments: None,
        grace_period_ns=1 << 60,
        file_count=1,
    )
    follower = Follower("f", VOTERS, 1, clock.boot(), TIMINGS, 7)
    effects = effects_type(module, follower, active_rules, 10)
    effects.stored_version = stored
    return effects, follower, updates


def deliver_version(follower: Follower, version: RuleVersion) -> None:
    """Deliver a committed version to a follower, not in response to a report."""
    follower.on_message(clock.boot(), "a", VersionCommitted(1, encode_version(version)))


def grant_lease(follower: Follower, number: int, lease_ms: int = 1000) -> None:
    """Send a report and deliver the leader's grant for it; 0 ms grants no lease."""
    follower.on_tick(follower.next_report_ns, lambda: make_report("f", number))
    token = follower.lease.last_token
    follower.lease.request_time_by_token[token] = clock.boot()
    follower.on_message(clock.boot(), "a", LeaseGranted(1, LeaseGrant(1, token, number, lease_ms)))

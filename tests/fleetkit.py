"""Voters, versions, reports and machines for the tests of quincepier/net/fleet."""

from __future__ import annotations

import msgspec

from quincepier import clock
from quincepier.interface import Endpoint, EndpointState
from quincepier.rules import (
    FrontReport,
    LeaseTimings,
    MaintenanceStep,
    MaintenanceTask,
    RuleVersion,
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

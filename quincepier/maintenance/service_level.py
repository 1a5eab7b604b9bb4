"""The service level of tenants: the share of priority weight served in time, compared with its baseline."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.maintenance.section import MaintenanceSection
from quincepier.rules.reports import Observations


@dataclass(slots=True, frozen=True)
class ServiceLevel:
    """Why maintenance must not go on; each reason is empty while the service level is sufficient."""

    cancel_reason: str  # below `min_service_ratio`: tasks that are not drained yet are cancelled
    wait_reason: str  # below `min_service_ratio_to_start`, or without a baseline: no task starts


@dataclass(slots=True)
class _ServiceTotals:
    """Sums over the reports of all fronts, for one tenant."""

    responses: int = 0
    requested_weight: float = 0.0
    on_time_weight: float = 0.0


def service_level(section: MaintenanceSection, observations: Observations) -> ServiceLevel:
    """Compare the service level of each tenant with its baseline.

    A tenant with too few responses, or without a baseline, is not judged. If there are enough responses and
    no baseline at all, no task may start.
    """
    totals_by_tenant = _sum_by_tenant(observations)
    cancel_reason = wait_reason = ""
    for tenant, baseline in sorted(observations.baseline_on_time_ratio_by_tenant.items()):
        totals = totals_by_tenant.get(tenant, _ServiceTotals())
        if totals.responses < section.min_responses or totals.requested_weight <= 0:
            continue
        ratio = totals.on_time_weight / totals.requested_weight
        reason = f"service of {tenant or 'all'} is {ratio:.3f}, baseline {baseline:.3f}"
        if ratio < baseline * section.min_service_ratio:
            cancel_reason = cancel_reason or reason
        if ratio < baseline * section.min_service_ratio_to_start:
            wait_reason = wait_reason or reason
    has_responses = any(totals.responses >= section.min_responses for totals in totals_by_tenant.values())
    if not observations.baseline_on_time_ratio_by_tenant and has_responses:
        wait_reason = "the baseline of service is not known yet"
    return ServiceLevel(cancel_reason, wait_reason)


def _sum_by_tenant(observations: Observations) -> dict[str, _ServiceTotals]:
    totals_by_tenant = dict[str, _ServiceTotals]()
    for name, report in observations.report_by_front.items():
        if name != report.front:  # the report of an earlier start of the front
            continue
        for statistics in report.service_statistics:
            if statistics.shard:  # included in the tenant's statistics over all shards
                continue
            totals = totals_by_tenant.setdefault(statistics.tenant, _ServiceTotals())
            totals.responses += statistics.responses
            totals.requested_weight += statistics.requested_weight
            totals.on_time_weight += statistics.on_time_weight
    return totals_by_tenant

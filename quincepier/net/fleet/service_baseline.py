"""The on-time ratio of each tenant without disruptions, as a baseline for planners."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quincepier import clock
from quincepier.rules import FrontReport, RuleVersion

MIN_RESPONSES = 50  # in a window, for a meaningful ratio
SMOOTHING = 0.2  # weight of a new ratio in the exponential average
MAX_TENANTS = 4096
UPDATE_INTERVAL_NS = clock.SECOND


@dataclass(slots=True)
class _TenantSums:
    """Sums over the reports of all fronts for one tenant."""

    responses: float = 0.0
    requested_weight: float = 0.0
    on_time_weight: float = 0.0


class ServiceBaseline:
    """Exponentially smoothed ratios of on-time weight to requested weight.

    Attributes:
        ratio_by_tenant: The ratio of each tenant; that of all requests under "".
    """

    def __init__(self) -> None:
        self.ratio_by_tenant = dict[str, float]()
        self._updated_at_ns = 0

    def update(self, now_ns: int, version: RuleVersion, reports: Iterable[FrontReport]) -> None:
        """Update the ratios from reports, at most once a second, while no task or migration is active."""
        if now_ns - self._updated_at_ns < UPDATE_INTERVAL_NS:
            return
        if any(task.is_active for task in version.maintenance_tasks):
            return
        if any(migration.is_active for migration in version.migrations):
            return
        self._updated_at_ns = now_ns
        for tenant, sums in _sum_by_tenant(reports).items():
            if sums.responses >= MIN_RESPONSES and sums.requested_weight > 0:
                self._update_ratio(tenant, sums.on_time_weight / sums.requested_weight)

    def _update_ratio(self, tenant: str, ratio: float) -> None:
        if tenant not in self.ratio_by_tenant and len(self.ratio_by_tenant) >= MAX_TENANTS:
            return
        before = self.ratio_by_tenant.get(tenant, ratio)
        self.ratio_by_tenant[tenant] = before + SMOOTHING * (ratio - before)


def _sum_by_tenant(reports: Iterable[FrontReport]) -> dict[str, _TenantSums]:
    sums_by_tenant = dict[str, _TenantSums]()
    for report in reports:
        for row in report.service_statistics:
            if row.shard:
                continue
            sums = sums_by_tenant.setdefault(row.tenant, _TenantSums())
            sums.responses += row.responses
            sums.requested_weight += row.requested_weight
            sums.on_time_weight += row.on_time_weight
    return sums_by_tenant

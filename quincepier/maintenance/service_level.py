"""Whether the tenants are served as before: worth in time over worth asked for, against the usual."""

from __future__ import annotations

from dataclasses import dataclass

from quincepier.maintenance.section import MaintenanceSection
from quincepier.rules.reports import Observations


@dataclass(slots=True, frozen=True)
class ServiceLevel:
    """Each is empty where it is well, else the reason."""

    fallen: str  # below the floor
    lower: str  # not as before


def service_level(wishes: MaintenanceSection, seen: Observations) -> ServiceLevel:
    """A tenant of which too few answers are in, or whose usual is not known, is not judged; where anybody
    asks and nothing usual is known at all, service is not known to be as before.
    """
    sums = dict[str, tuple[int, float, float]]()
    for name, report in seen.report_by_front.items():
        for row in report.service_statistics if name == report.front else ():
            if not row.shard:
                asked, worth, good = sums.get(row.tenant, (0, 0.0, 0.0))
                sums[row.tenant] = (
                    asked + row.responses,
                    worth + row.requested_weight,
                    good + row.on_time_weight,
                )
    fallen = lower = ""
    for tenant, usual in sorted(seen.baseline_on_time_ratio_by_tenant.items()):
        asked, worth, good = sums.get(tenant, (0, 0.0, 0.0))
        if asked < wishes.min_responses or worth <= 0:
            continue
        told = f"service of {tenant or 'all'} is {good / worth:.3f}, usually {usual:.3f}"
        if good / worth < usual * wishes.min_service_ratio:
            fallen = fallen or told
        if good / worth < usual * wishes.min_service_ratio_to_start:
            lower = lower or told
    if not seen.baseline_on_time_ratio_by_tenant and any(
        asked >= wishes.min_responses for asked, _, _ in sums.values()
    ):
        lower = "the usual service is not known yet"
    return ServiceLevel(fallen, lower)

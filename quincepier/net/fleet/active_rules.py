"""What the pure parts say of a version at this front, by the sections that its file has.

`maintenance` says which machines leave, `tenancy` where requests are at home; both plan, where this front
leads, by what its own file wishes. Tenancy is imported only where the file has its section.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from quincepier import clock
from quincepier.interface import EndpointState, Idempotency
from quincepier.maintenance import MaintenanceSection, cordoned_hosts, plan, requested_hosts
from quincepier.net.fleet.leader import Planner
from quincepier.net.module import ModuleActor
from quincepier.operator import OperatorFile
from quincepier.rules import Observations, RuleVersion, VersionChange

if TYPE_CHECKING:
    from quincepier.tenancy import PlacementTable, TenantLookup

NOTICE = 60 * clock.SECOND  # where no section says it


class ActiveRules:
    def __init__(self, module: ModuleActor, file: OperatorFile) -> None:
        self.module, self.name = module, module.config.name
        self.is_unsafe_class = [c.effect is not Idempotency.SAFE for c in module.config.settings.classes]
        self.notice_ns = NOTICE
        self._planners: list[Planner] = []
        self.requested_hosts, self.decommissioned_fronts = frozenset[str](), frozenset[str]()
        self.waiting_reasons: tuple[str, ...] = ()
        self.tenants: TenantLookup | None = None
        self.file_count = 0  # files
        self.load(file)

    def load(self, file: OperatorFile) -> None:
        """What the file wishes now."""
        wished = MaintenanceSection()
        if file.named("maintenance") is not None:
            wished = file.get(MaintenanceSection) or wished
        self.requested_hosts, self.waiting_reasons = requested_hosts(wished), ()
        self.decommissioned_fronts = frozenset(wished.decommissioned_fronts)
        # an order that nobody wishes any more is ended by the same plan: there is one without a section
        self._planners = [lambda version, seen: self._plan_maintenance(wished, version, seen)]
        self.tenants, self.notice_ns, self.file_count = None, NOTICE, self.file_count + 1
        if file.named("tenants") is not None:
            self._load_tenants(file)

    def _plan_maintenance(
        self, wished: MaintenanceSection, version: RuleVersion, seen: Observations
    ) -> VersionChange | None:
        found = plan(version, wished, seen)
        if found.messages != self.waiting_reasons:
            self.waiting_reasons = found.messages
            detail = "; ".join(found.messages)
            logger.bind(event="orders wait", detail=detail).info("orders wait: {}", detail or "none")
        return found.change

    def _load_tenants(self, file: OperatorFile) -> None:
        from quincepier.tenancy import MigrationPolicy, TenantLookup, TenantsSection, advance

        section = file.get(TenantsSection)
        if section is None:
            return
        self.tenants = TenantLookup(section)
        wishes = MigrationPolicy.from_section(section, self.module.config.settings.classes)
        self.notice_ns = wishes.grace_period_ns
        self._planners.append(lambda version, seen: advance(version, wishes, seen))

    def planners(self) -> list[Planner]:
        return self._planners

    def cordoned_hosts(self, version: RuleVersion, cautious: bool) -> frozenset[str]:
        return cordoned_hosts(version, cautious, self.name, self.requested_hosts)

    def placement_table(self, version: RuleVersion, cautious: bool, unsure: bool) -> PlacementTable | None:
        """What the Router asks; None where this front's file has no tenants."""
        if self.tenants is None:
            return None
        from quincepier.tenancy import PlacementTable

        settings, number = self.module.config.settings, self.module.directory.number_by_host.get
        return PlacementTable(
            version, cautious, number, self.tenants, settings.classes, self.ready_endpoints, unsure
        )

    def ready_endpoints(self) -> tuple[frozenset[int], frozenset[int]]:
        """Numbers of the caches and of the parents that the log lists as ready."""
        s = self.module.config.settings
        ready = [
            e.machine
            for e in self.module.directory.entry_by_host.values()
            if e.machine.state is EndpointState.READY
        ]
        upper = (s.parent_kind, s.origin_kind)
        caches = frozenset(m.cache for m in ready if m.kind not in upper)
        return caches, frozenset(m.cache for m in ready if m.kind == s.parent_kind)

    def tenant_of(self, item: str) -> tuple[int, str]:
        """A tenant's number and name; (0, "") for nobody's."""
        if self.tenants is None:
            return 0, ""
        number = self.tenants.tenant_of(item)
        return number, self.tenants.name_of(number)

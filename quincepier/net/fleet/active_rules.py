"""What this front's operators' file and a rule version say together, by the sections that the file has.

`maintenance` says which machines are cordoned, `tenants` where requests are placed; where this front leads,
both plan by what its own file requests. Tenancy is imported only where the file has its section.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

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

DEFAULT_GRACE_PERIOD_NS = 60 * clock.SECOND  # where the file has no section `tenants`


class RequestTenant(NamedTuple):
    """The tenant of a request; number 0 and no name for a request of none."""

    number: int
    name: str


NO_TENANT = RequestTenant(0, "")


class ActiveRules:
    """The sections of the operators' file that concern rule versions, as they were loaded last.

    Attributes:
        is_unsafe_class: By number of the request class: whether its requests may not simply be repeated.
        grace_period_ns: After a lease has ended, until a migration may have started that this front does not
            know of.
        requested_hosts: Machines that the file requests maintenance for.
        decommissioned_fronts: Fronts that exist no more, as the file says.
        tenants: Tells tenants apart; None without the section.
        file_count: How many files were loaded.
    """

    def __init__(self, module: ModuleActor, file: OperatorFile) -> None:
        classes = module.config.settings.classes
        self.is_unsafe_class = [one.effect is not Idempotency.SAFE for one in classes]
        self.grace_period_ns = DEFAULT_GRACE_PERIOD_NS
        self.requested_hosts = frozenset[str]()
        self.decommissioned_fronts = frozenset[str]()
        self.tenants: TenantLookup | None = None
        self.file_count = 0
        self._module = module
        self._planners: list[Planner] = []
        self._waiting_messages: tuple[str, ...] = ()
        self.load(file)

    def load(self, file: OperatorFile) -> None:
        """Put a file in force."""
        section = MaintenanceSection()
        if file.get_by_name("maintenance") is not None:
            section = file.get(MaintenanceSection) or section
        self.requested_hosts = requested_hosts(section)
        self.decommissioned_fronts = frozenset(section.decommissioned_fronts)
        self._waiting_messages = ()
        # The same planner ends a task that nobody requests any more, so there is one without a section.
        self._planners = [lambda version, seen: self._plan_maintenance(section, version, seen)]
        self.tenants = None
        self.grace_period_ns = DEFAULT_GRACE_PERIOD_NS
        self.file_count += 1
        if file.get_by_name("tenants") is not None:
            self._load_tenants(file)

    def _plan_maintenance(
        self, section: MaintenanceSection, version: RuleVersion, observations: Observations
    ) -> VersionChange | None:
        planned = plan(version, section, observations)
        if planned.messages != self._waiting_messages:
            self._waiting_messages = planned.messages
            detail = "; ".join(planned.messages)
            log = logger.bind(event="maintenance_waiting", detail=detail)
            log.info("maintenance waits: {}", detail or "none")
        return planned.change

    def _load_tenants(self, file: OperatorFile) -> None:
        from quincepier.tenancy import MigrationPolicy, TenantLookup, TenantsSection, advance

        section = file.get(TenantsSection)
        if section is None:
            return
        self.tenants = TenantLookup(section)
        policy = MigrationPolicy.from_section(section, self._module.config.settings.classes)
        self.grace_period_ns = policy.grace_period_ns
        self._planners.append(lambda version, observations: advance(version, policy, observations))

    def planners(self) -> list[Planner]:
        """Return the planners of the sections."""
        return self._planners

    def cordoned_hosts(self, version: RuleVersion, is_cautious: bool) -> frozenset[str]:
        """Return the machines that nothing new is sent to."""
        return cordoned_hosts(version, is_cautious, self._module.config.name, self.requested_hosts)

    def placement_table(
        self, version: RuleVersion, is_cautious: bool, may_lack_migrations: bool
    ) -> PlacementTable | None:
        """Return what places requests by a version; None where the file has no tenants.

        Raises:
            TenancyError: The version can't be used.
        """
        if self.tenants is None:
            return None
        from quincepier.tenancy import PlacementTable

        return PlacementTable(
            version,
            is_cautious,
            self._module.directory.number_by_host.get,
            self.tenants,
            self._module.config.settings.classes,
            self._ready_endpoints,
            may_lack_migrations,
        )

    def _ready_endpoints(self) -> tuple[frozenset[int], frozenset[int]]:
        """Numbers of the caches and of the parents that are listed as ready."""
        settings = self._module.config.settings
        ready = [
            entry.machine
            for entry in self._module.directory.entry_by_host.values()
            if entry.machine.state is EndpointState.READY
        ]
        upstream_kinds = (settings.parent_kind, settings.origin_kind)
        caches = frozenset(machine.number for machine in ready if machine.kind not in upstream_kinds)
        parents = frozenset(machine.number for machine in ready if machine.kind == settings.parent_kind)
        return caches, parents

    def tenant_of(self, object_key: str) -> RequestTenant:
        """Return the tenant that an object belongs to."""
        if self.tenants is None:
            return NO_TENANT
        number = self.tenants.tenant_of(object_key)
        return RequestTenant(number, self.tenants.name_of(number))

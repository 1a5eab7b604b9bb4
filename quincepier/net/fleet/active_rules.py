"""Combines the operators' file of this front with a rule version, section by section.

The section `maintenance` determines which machines are cordoned, `tenants` where requests are placed. If this
front leads, the planners of both sections work with the requests in this front's file. Tenancy is imported
only if the file has its section.
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

DEFAULT_GRACE_PERIOD_NS = 60 * clock.SECOND  # if the file has no section `tenants`


class RequestTenant(NamedTuple):
    """The tenant of a request; number 0 and an empty name without a tenant."""

    number: int
    name: str


NO_TENANT = RequestTenant(0, "")


class ActiveRules:
    """The sections of the operators' file that concern rule versions, as loaded last.

    Attributes:
        is_unsafe_class: By number of the request class, whether its requests are unsafe to repeat.
        grace_period_ns: After this time without a lease, a migration unknown to this front may have started.
        requested_hosts: Host ids for which the file requests maintenance.
        decommissioned_fronts: Names of the fronts that the file lists as decommissioned.
        tenants: Finds the tenant of a request; None without the section `tenants`.
        file_count: The number of files that were loaded.
    """

    def __init__(self, module: ModuleActor, file: OperatorFile) -> None:
        classes = module.config.settings.classes
        self.is_unsafe_class = [request_class.effect is not Idempotency.SAFE for request_class in classes]
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
        """Replace the sections with those of a file."""
        section = MaintenanceSection()
        if file.get_by_name("maintenance") is not None:
            section = file.get(MaintenanceSection) or section
        self.requested_hosts = requested_hosts(section)
        self.decommissioned_fronts = frozenset(section.decommissioned_fronts)
        self._waiting_messages = ()
        # The planner is needed without a section too: it ends tasks that are no longer requested.
        self._planners = [
            lambda version, observations: self._plan_maintenance(section, version, observations)
        ]
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
        """Return the host ids of the cordoned machines, to which no new request is sent."""
        return cordoned_hosts(version, is_cautious, self._module.config.name, self.requested_hosts)

    def placement_table(
        self, version: RuleVersion, is_cautious: bool, may_lack_migrations: bool
    ) -> PlacementTable | None:
        """Return the table that places requests by a version; None if the file has no tenants.

        Raises:
            TenancyError: The placements of the version can't be used.
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
        """Return the numbers of the caches and of the parents that are listed as ready."""
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
        """Return the tenant that owns an object."""
        if self.tenants is None:
            return NO_TENANT
        number = self.tenants.tenant_of(object_key)
        return RequestTenant(number, self.tenants.name_of(number))

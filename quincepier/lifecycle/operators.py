"""The operator's file: read at a front's start and at SIGHUP; its sections configure optional components.

This module is imported only if an operator's file is named.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincepier.lifecycle import logs
from quincepier.operator import LogSection, OperatorError, OperatorFile, load
from quincepier.wire.changelog import AddressParser

if TYPE_CHECKING:
    from quincepier.addresses.section import AddressesSection
    from quincepier.clients.section import ClientNetworks
    from quincepier.consistency.section import ConsistencySection
    from quincepier.net.connection_manager import ConnectionManager
    from quincepier.net.fleet.node import AgreementNode
    from quincepier.net.module import ModuleActor
    from quincepier.net.peers import PeerNetwork
    from quincepier.net.peers.quota_allocator import QuotaAllocator
    from quincepier.net.state_persistence import StatePersistence


# sections whose changes take effect only at a start
APPLIED_ONLY_AT_START = ("state", "members", "agreement", "consistency")
ADDED_ONLY_AT_START = ("addresses", *APPLIED_ONLY_AT_START)  # sections added or removed only at a start


REQUIRED_SECTION_BY_NAME = {
    "agreement": "members",
    "maintenance": "agreement",
    "tenants": "agreement",
    "consistency": "agreement",
}  # a section has no effect without the section that it requires


def load_and_check(path: str) -> OperatorFile:
    """Read and check a file; OperatorError if it is invalid or lacks a section that another one requires."""
    file = load(path)
    faults = [
        f"{path}: {name}: needs the section {required}: add it, or take {name} out"
        for name, required in REQUIRED_SECTION_BY_NAME.items()
        if file.get_by_name(name) is not None and file.get_by_name(required) is None
    ]
    if faults:
        raise OperatorError(faults)
    return file


class OperatorConfiguration:
    """The operator's file in force, and the components that its sections configure.

    Args:
        path: The file.

    Attributes:
        path: The file.
        file: Its contents in force.
        quota_allocator: Divides tenants' quotas among the fronts, if the file has the section `members`.
    """

    def __init__(self, path: str) -> None:
        """Read the file; raises OperatorError with all its faults."""
        self.path, self.file = path, load_and_check(path)
        self.quota_allocator: QuotaAllocator | None = None

    @property
    def log_format(self) -> str:
        """Format of log lines: `text` or `json`."""
        return (self.file.get(LogSection) or LogSection()).format

    @property
    def parse_address(self) -> AddressParser | None:
        """The parser of addresses in change-log records; None unless machines may have several addresses."""
        if self.file.get_by_name("addresses") is None:
            return None
        from quincepier.addresses import parse

        return parse

    @property
    def summary(self) -> str:
        """One line for `check-config`."""
        return f"operators' file is good: {', '.join(self.file.names) or 'no sections'}"

    def _addresses(self, file: OperatorFile) -> AddressesSection | None:
        if file.get_by_name("addresses") is None:
            return None
        from quincepier.addresses.section import AddressesSection

        return file.get(AddressesSection)

    def configure_addresses(self, module: ModuleActor) -> None:
        """Create the dialer for machines with several addresses, if the file has the section `addresses`."""
        section = self._addresses(self.file)
        if section is not None:
            from quincepier.net.dialer import Dialer

            module.dependencies.parse_address = self.parse_address
            module.context.dialer = Dialer(module.dependencies, section, module.context.ensure_descriptor)

    def create_state_persistence(self, module: ModuleActor) -> StatePersistence | None:
        """Return the persistence of learned state; None without the section `state`."""
        if self.file.get_by_name("state") is None:
            return None
        from quincepier.net.state_persistence import StatePersistence
        from quincepier.state.section import StateSection

        section = self.file.get(StateSection)
        return None if section is None else StatePersistence(module, section)

    def create_peer_network(self, module: ModuleActor) -> PeerNetwork | None:
        """Return the network of fronts; None without the section `members`.

        Raises:
            PeersError: The section does not list this front.
        """
        if self.file.get_by_name("members") is None:
            return None
        from quincepier.membership.section import MembersSection
        from quincepier.net.peers import PeerNetwork
        from quincepier.net.peers.quota_allocator import QuotaAllocator

        section = self.file.get(MembersSection)
        if section is None:
            return None
        peers = PeerNetwork.from_section(section, module.config, module.dependencies)
        self.quota_allocator = QuotaAllocator(module, peers)
        return peers

    def create_agreement_node(self, module: ModuleActor, peers: PeerNetwork | None) -> AgreementNode | None:
        """Return the node that agrees on rule versions; None without the section `agreement`."""
        if peers is None or self.file.get_by_name("agreement") is None:
            return None
        from quincepier.net.fleet.active_rules import ActiveRules
        from quincepier.net.fleet.node import AgreementNode
        from quincepier.net.fleet.section import AgreementSection

        section = self.file.get(AgreementSection)
        if section is None:
            return None
        return AgreementNode(
            module, peers, section, ActiveRules(module, self.file), self._consistency_section()
        )

    def _consistency_section(self) -> ConsistencySection | None:
        if self.file.get_by_name("consistency") is None:
            return None
        from quincepier.consistency.section import ConsistencySection

        return self.file.get(ConsistencySection)

    def update_agreement_node(self, node: AgreementNode) -> None:
        """Pass the file to the agreement node after a reload."""
        node.active_rules.load(self.file)
        node.effects.apply()

    @property
    def client_connection_limits(self) -> ClientNetworks | None:
        """Limits on connections by client network; None without the section `clients`."""
        if self.file.get_by_name("clients") is None:
            return None
        from quincepier.clients.section import ClientNetworks, ClientsSection

        section = self.file.get(ClientsSection)
        return None if section is None else ClientNetworks(section)

    def read_file(self) -> OperatorFile:
        """Read and check the file again without applying it; raises OperatorError."""
        return load_and_check(self.path)

    def apply_file(
        self, file: OperatorFile, module: ModuleActor, manager: ConnectionManager
    ) -> tuple[list[str], list[str]]:
        """Apply a file that was read again.

        Returns:
            Names of the changed sections that were applied, and of those that take effect at the next start.
        """
        names = dict.fromkeys((*self.file.names, *file.names))
        changed = [name for name in names if file.get_by_name(name) != self.file.get_by_name(name)]
        added_or_removed = [
            name for name in changed if None in (file.get_by_name(name), self.file.get_by_name(name))
        ]
        deferred = [
            name
            for name in changed
            if name in APPLIED_ONLY_AT_START or (name in added_or_removed and name in ADDED_ONLY_AT_START)
        ]
        self.file = file
        if "log" in changed:
            logs.configure_logging(self.log_format)
        section = self._addresses(file)
        if "addresses" in changed and "addresses" not in deferred and section is not None:
            module.apply_address_settings(section)
        if "clients" in changed:
            manager.configure(self.client_connection_limits)
        return [name for name in changed if name not in deferred], deferred

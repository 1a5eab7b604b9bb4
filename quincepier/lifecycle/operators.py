"""The operators' file in the life of a front: read at its start and at SIGHUP, its sections put to work.

Imported only where a file is named.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quincepier.lifecycle import logs
from quincepier.operator import LogSection, OperatorError, OperatorFile, load
from quincepier.wire.changelog import AddressParser

if TYPE_CHECKING:
    from quincepier.addresses.section import AddressesSection
    from quincepier.clients.section import Places
    from quincepier.consistency.section import ConsistencySection
    from quincepier.net.clients import ConnectionManager
    from quincepier.net.fleet.node import AgreementNode
    from quincepier.net.module import ModuleActor
    from quincepier.net.peers import PeerNetwork
    from quincepier.net.peers.quota_allocator import QuotaAllocator
    from quincepier.net.state_persistence import StatePersistence


ONLY_AT_A_START = ("state", "members", "agreement", "consistency")  # what they say changes at a start alone
AT_A_START = ("addresses", *ONLY_AT_A_START)  # sections that come and go only at a start


NEEDS = {
    "agreement": "members",
    "maintenance": "agreement",
    "tenants": "agreement",
    "consistency": "agreement",
}  # what a section would do nothing without


def checked(path: str) -> OperatorFile:
    """The file at a path; OperatorError also where a section lacks the one that it needs."""
    file = load(path)
    lacks = [
        f"{path}: {name}: needs the section {other}: add it, or take {name} out"
        for name, other in NEEDS.items()
        if file.get_by_name(name) is not None and file.get_by_name(other) is None
    ]
    if lacks:
        raise OperatorError(lacks)
    return file


class Operators:
    """The file as it holds now."""

    def __init__(self, path: str) -> None:
        """Raises OperatorError with all that is wrong with the file."""
        self.path, self.file = path, checked(path)
        self.quota_allocator: QuotaAllocator | None = None

    @property
    def log_format(self) -> str:
        return (self.file.get(LogSection) or LogSection()).format

    @property
    def judge(self) -> AddressParser | None:
        """Of the addresses in change-log records, where machines may have several."""
        if self.file.get_by_name("addresses") is None:
            return None
        from quincepier.addresses import parse

        return parse

    @property
    def summary(self) -> str:
        return f"operators' file is good: {', '.join(self.file.names) or 'no sections'}"

    def _addresses(self, file: OperatorFile) -> AddressesSection | None:
        if file.get_by_name("addresses") is None:
            return None
        from quincepier.addresses.section import AddressesSection

        return file.get(AddressesSection)

    def equip(self, module: ModuleActor) -> None:
        """Before the front serves: what the sections ask for."""
        section = self._addresses(self.file)
        if section is not None:
            from quincepier.net.dialer import Dialer

            module.means.judge = self.judge
            module.shared.dialer = Dialer(module.means, section, module.shared.descriptor)

    def keeper(self, module: ModuleActor) -> StatePersistence | None:
        """Who keeps what was learned over starts."""
        if self.file.get_by_name("state") is None:
            return None
        from quincepier.net.state_persistence import StatePersistence
        from quincepier.state.section import StateSection

        section = self.file.get(StateSection)
        return None if section is None else StatePersistence(module, section)

    def peers(self, module: ModuleActor) -> PeerNetwork | None:
        """This front among the others; PeersError where the section has no place for it."""
        if self.file.get_by_name("members") is None:
            return None
        from quincepier.membership.section import MembersSection
        from quincepier.net.peers import PeerNetwork
        from quincepier.net.peers.quota_allocator import QuotaAllocator

        section = self.file.get(MembersSection)
        if section is None:
            return None
        peers = PeerNetwork.from_section(section, module.config, module.means)
        self.quota_allocator = QuotaAllocator(module, peers)
        return peers

    def fleet(self, module: ModuleActor, peers: PeerNetwork | None) -> AgreementNode | None:
        """What this front settles with the others."""
        if peers is None or self.file.get_by_name("agreement") is None:
            return None
        from quincepier.net.fleet.active_rules import ActiveRules
        from quincepier.net.fleet.node import AgreementNode
        from quincepier.net.fleet.section import AgreementSection

        section = self.file.get(AgreementSection)
        if section is None:
            return None
        return AgreementNode(module, peers, section, ActiveRules(module, self.file), self._compared())

    def _compared(self) -> ConsistencySection | None:
        if self.file.get_by_name("consistency") is None:
            return None
        from quincepier.consistency.section import ConsistencySection

        return self.file.get(ConsistencySection)

    def wishes(self, fleet: AgreementNode) -> None:
        """The file as it holds now, read again."""
        fleet.active_rules.load(self.file)
        fleet.effects.apply()

    @property
    def places(self) -> Places | None:
        """Whose clients' connections are whose, and how many each may have."""
        if self.file.get_by_name("clients") is None:
            return None
        from quincepier.clients.section import ClientsSection, Places

        section = self.file.get(ClientsSection)
        return None if section is None else Places(section)

    def again(self) -> OperatorFile:
        """The file read anew, checked and not yet in force; raises OperatorError."""
        return checked(self.path)

    def take(
        self, file: OperatorFile, module: ModuleActor, manager: ConnectionManager
    ) -> tuple[list[str], list[str]]:
        """Put a file in force that was read anew: the sections that changed, and those left for a start."""
        names = dict.fromkeys((*self.file.names, *file.names))
        differ = [name for name in names if file.get_by_name(name) != self.file.get_by_name(name)]
        once = [name for name in differ if None in (file.get_by_name(name), self.file.get_by_name(name))]
        later = [n for n in differ if n in ONLY_AT_A_START or (n in once and n in AT_A_START)]
        self.file = file
        if "log" in differ:
            logs.set_up(self.log_format)
        section = self._addresses(file)
        if "addresses" in differ and "addresses" not in later and section is not None:
            module.follow_addresses(section)
        if "clients" in differ:
            manager.follow(self.places)
        return [n for n in differ if n not in later], later

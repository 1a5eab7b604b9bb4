"""This front as a member: its identity, its incarnation, and other processes that use its name."""

from __future__ import annotations

from quincepier.membership.member_table import MemberState
from quincepier.membership.messages import Address, MembershipUpdate

CONFLICTS_OF_DUPLICATE = 3  # conflicts about the name within the window: two processes use it


class LocalMember:
    """The identity of this front; only it raises its incarnation (SWIM, section 4.2)."""

    def __init__(
        self, fleet: str, name: str, address: Address, incarnation: int, conflict_window_ns: int
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.address = address
        self._incarnation = incarnation
        self._conflict_window_ns = conflict_window_ns
        self._conflicts_ns: list[int] = []  # times of recent conflicts

    @property
    def incarnation(self) -> int:
        """The current incarnation."""
        return self._incarnation

    def supersede(self, incarnation: int) -> None:
        """Raises the incarnation above one that others know of."""
        self._incarnation = incarnation + 1

    def is_same_process(self, incarnation: int, address: Address) -> bool:
        """Whether a datagram under this front's name is its own."""
        return incarnation == self._incarnation and address == self.address

    def is_conflicting(self, incarnation: int, address: Address) -> bool:
        """Whether an update about this front's name must come from another process or an earlier start."""
        if incarnation == self._incarnation:
            return address != self.address
        return incarnation > self._incarnation

    def record_conflict(self, now_ns: int) -> bool:
        """Counts a conflict about the name; returns whether it shows that two processes use it."""
        recent = [at for at in self._conflicts_ns if now_ns - at < self._conflict_window_ns]
        self._conflicts_ns = [*recent, now_ns]
        return len(self._conflicts_ns) == CONFLICTS_OF_DUPLICATE

    def to_update(self) -> MembershipUpdate:
        """Returns the assertion that this front is alive."""
        return MembershipUpdate(self.name, self.address, self._incarnation, MemberState.ALIVE, 0)

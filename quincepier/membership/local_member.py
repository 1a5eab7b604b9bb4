"""This front as a member: its identity, its incarnation, and conflicts with processes that use its name."""

from __future__ import annotations

from quincepier.membership.member_table import MemberState
from quincepier.membership.messages import Address, MembershipUpdate

DUPLICATE_CONFLICT_THRESHOLD = 3  # name conflicts within the window; then two processes use the name


class LocalMember:
    """The identity of this front; only the front itself raises its incarnation (SWIM, section 4.2)."""

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
        """Raises the incarnation above an incarnation that other members know."""
        self._incarnation = incarnation + 1

    def is_same_process(self, incarnation: int, address: Address) -> bool:
        """Whether a datagram with this front's name was sent by this process."""
        return incarnation == self._incarnation and address == self.address

    def is_conflicting(self, incarnation: int, address: Address) -> bool:
        """Whether an update about this front's name must describe another process or an earlier start."""
        if incarnation == self._incarnation:
            return address != self.address
        return incarnation > self._incarnation

    def record_conflict(self, now_ns: int) -> bool:
        """Counts a name conflict; returns whether the count has just reached the duplicate threshold."""
        recent = [time_ns for time_ns in self._conflicts_ns if now_ns - time_ns < self._conflict_window_ns]
        self._conflicts_ns = [*recent, now_ns]
        return len(self._conflicts_ns) == DUPLICATE_CONFLICT_THRESHOLD

    def to_update(self) -> MembershipUpdate:
        """Returns an update that asserts that this front is alive."""
        return MembershipUpdate(self.name, self.address, self._incarnation, MemberState.ALIVE, 0)

"""Records of the other members, and the rules by which an update about a member supersedes another.

An update with a higher incarnation supersedes all with a lower one, as only the member itself raises its
incarnation. Within one incarnation dead or left supersedes suspect, and suspect supersedes alive (SWIM,
section 4.2).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from quincepier.membership.messages import Address, MembershipUpdate
from quincepier.membership.probe_intervals import MS, ProbeIntervals

SUSPICIONS_PER_REQUIRED = 2  # recorded suspicions of one member, as a multiple of `required_suspicions`


class MemberState(IntEnum):
    """The assumed state of a member; within one incarnation a higher value supersedes a lower one."""

    ALIVE = 0
    SUSPECT = 1  # suspected by at least one member; still in the view
    DEAD = 2  # suspected by enough members for long enough without refuting it
    LEFT = 3  # it announced that it leaves


@dataclass(slots=True)
class MemberRecord:
    """The state of one other member as known to this front.

    Attributes:
        name: Its name.
        address: The address that it announces.
        incarnation: The highest known incarnation.
        state: Its assumed state.
        since_ns: When it entered this state; for a suspect, the time of the first suspicion by any member.
        suspected_by: Names of the members that suspect it independently.
    """

    name: str
    address: Address
    incarnation: int
    state: MemberState = MemberState.ALIVE
    since_ns: int = 0
    suspected_by: set[str] = field(default_factory=set)

    @property
    def is_live(self) -> bool:
        """Whether the member belongs to the view."""
        return self.state <= MemberState.SUSPECT

    def to_update(self, now_ns: int, suspected_by: str = "") -> MembershipUpdate:
        """Returns an update about this member to send to others.

        Args:
            now_ns: The current time in nanoseconds.
            suspected_by: The suspecting member to name; if empty, the first by name.
        """
        if self.state is not MemberState.SUSPECT:
            return MembershipUpdate(self.name, self.address, self.incarnation, self.state, 0, suspected_by)
        suspected_for_ms = max(now_ns - self.since_ns, 0) // MS
        suspected_by = suspected_by or min(self.suspected_by, default="")
        return MembershipUpdate(
            self.name, self.address, self.incarnation, self.state, suspected_for_ms, suspected_by
        )


def supersedes(incarnation: int, state: MemberState, record: MemberRecord) -> bool:
    """Whether an update with this incarnation and state replaces the state in a record.

    A further suspicion of a suspect does not supersede the first; both are counted.
    """
    return (incarnation, state) > (record.incarnation, record.state)


class MemberTable:
    """The records of all other members, at most `max_members` of them."""

    def __init__(self, intervals: ProbeIntervals) -> None:
        self._intervals = intervals
        self._records_by_name: dict[str, MemberRecord] = {}
        self._suspects: set[str] = set()
        self._live_count = 0
        self._live_set_version = 0

    def __len__(self) -> int:
        return len(self._records_by_name)

    @property
    def live_count(self) -> int:
        """The number of live members, suspects included."""
        return self._live_count

    @property
    def suspect_count(self) -> int:
        """The number of suspects."""
        return len(self._suspects)

    @property
    def live_set_version(self) -> int:
        """A number that increases with each change of the set of live members."""
        return self._live_set_version

    def get(self, name: str) -> MemberRecord | None:
        """Returns the record of a member; None if the member is unknown."""
        return self._records_by_name.get(name)

    def records(self) -> Collection[MemberRecord]:
        """Returns all records, including those of dead members."""
        return self._records_by_name.values()

    def live_records(self) -> list[MemberRecord]:
        """Returns the records of the live members, including suspects."""
        return [record for record in self._records_by_name.values() if record.is_live]

    def suspects(self) -> list[MemberRecord]:
        """Returns the records of the suspects, sorted by name."""
        return [self._records_by_name[name] for name in sorted(self._suspects)]

    def apply(self, now_ns: int, update: MembershipUpdate) -> MembershipUpdate | None:
        """Applies an update about another member.

        Returns:
            The update to forward to other members; None if the table did not change.
        """
        record = self._records_by_name.get(update.name)
        if record is None:
            return self._add(now_ns, update)
        is_suspicion = update.state == MemberState.SUSPECT and record.state is MemberState.SUSPECT
        if is_suspicion and update.incarnation == record.incarnation:
            return self._add_suspicion(now_ns, record, update)
        if not supersedes(update.incarnation, MemberState(update.state), record):
            return None
        return self._replace(now_ns, record, update)

    def declare_dead(self, now_ns: int, record: MemberRecord) -> None:
        """Marks a suspect as dead from `now_ns` on."""
        record.since_ns = now_ns
        self._set_state(record, MemberState.DEAD)

    def postpone_suspicions(self, by_ns: int) -> None:
        """Moves the start of all suspicions by the duration of a pause of this process."""
        for record in self._records_by_name.values():
            if record.state is MemberState.SUSPECT:
                record.since_ns += by_ns

    def remove_tombstones(self, now_ns: int) -> None:
        """Removes the records of members that were dead or had left for longer than the tombstone timeout."""
        expired = [
            name
            for name, record in self._records_by_name.items()
            if not record.is_live and now_ns - record.since_ns > self._intervals.tombstone_timeout_ns
        ]
        for name in expired:
            del self._records_by_name[name]

    def _add(self, now_ns: int, update: MembershipUpdate) -> MembershipUpdate | None:
        if len(self._records_by_name) >= self._intervals.max_members:
            return None
        since_ns = self._since_ns(now_ns, update)
        record = MemberRecord(update.name, update.address, update.incarnation, MemberState.LEFT, since_ns)
        if update.suspected_by:
            record.suspected_by.add(update.suspected_by)
        self._records_by_name[update.name] = record
        self._set_state(record, MemberState(update.state))
        return record.to_update(now_ns, update.suspected_by)

    def _add_suspicion(
        self, now_ns: int, record: MemberRecord, update: MembershipUpdate
    ) -> MembershipUpdate | None:
        earliest_ns = now_ns - self._intervals.max_suspicion_timeout_ns
        record.since_ns = min(record.since_ns, max(self._since_ns(now_ns, update), earliest_ns))
        if not update.suspected_by or update.suspected_by in record.suspected_by:
            return None
        if len(record.suspected_by) >= SUSPICIONS_PER_REQUIRED * self._intervals.required_suspicions:
            return None
        record.suspected_by.add(update.suspected_by)
        return record.to_update(now_ns, update.suspected_by)

    def _replace(self, now_ns: int, record: MemberRecord, update: MembershipUpdate) -> MembershipUpdate:
        if update.incarnation > record.incarnation or update.state != MemberState.DEAD:
            record.suspected_by = {update.suspected_by} if update.suspected_by else set()
        record.address = update.address
        record.incarnation = update.incarnation
        record.since_ns = self._since_ns(now_ns, update)
        self._set_state(record, MemberState(update.state))
        return record.to_update(now_ns, update.suspected_by)

    def _since_ns(self, now_ns: int, update: MembershipUpdate) -> int:
        return now_ns - min(update.suspected_for_ms * MS, self._intervals.tombstone_timeout_ns)

    def _set_state(self, record: MemberRecord, state: MemberState) -> None:
        was_live = record.is_live
        record.state = state
        if state is MemberState.SUSPECT:
            self._suspects.add(record.name)
        else:
            self._suspects.discard(record.name)
        if record.is_live != was_live:
            self._live_count += 1 if record.is_live else -1
            self._live_set_version += 1

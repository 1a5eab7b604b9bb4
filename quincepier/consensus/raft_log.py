"""The log of one voter in memory: a snapshot and the entries after it (thesis 3.5, 5.1)."""

from __future__ import annotations

from msgspec.structs import replace

from quincepier.state.voter_records import EntryKind, LogEntry, Member, Snapshot, VoterState


class RaftLog:
    """A snapshot, None before the first configuration, and the consecutive entries after it."""

    def __init__(self, saved: VoterState | None) -> None:
        self.snapshot = saved.snapshot if saved else None
        self.entries = list(saved.entries) if saved else []

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot includes; 0 without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self.entries:
            return self.entries[-1].term
        return self.snapshot.term if self.snapshot else 0

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`; None if it is compacted or after the last entry."""
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else 0
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    @property
    def configuration(self) -> tuple[Member, ...]:
        """The newest configuration in the log, committed or not (thesis 4.1)."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return entry.configuration
        return self.snapshot.configuration if self.snapshot else ()

    @property
    def configuration_index(self) -> int:
        """Index of the entry that holds `configuration`."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return entry.index
        return self.snapshot_index

    def append(self, entry: LogEntry) -> None:
        """Put the entry at its index, replacing the entry there and removing all after it."""
        del self.entries[entry.index - self.snapshot_index - 1 :]
        self.entries.append(entry)

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries after `index` within both limits; the first is returned whatever its size."""
        start = index - self.snapshot_index
        batch = list[LogEntry]()
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_between(self, after: int, to: int) -> list[LogEntry]:
        """Return the entries after index `after` up to and including `to`."""
        return self.entries[max(after - self.snapshot_index, 0) : to - self.snapshot_index]

    def bytes_after(self, index: int) -> int:
        """Return the size of the data of all entries after `index`."""
        return sum(len(entry.data) for entry in self.entries[max(index - self.snapshot_index, 0) :])

    def compact(self, to: int) -> Snapshot:
        """Replace all entries up to the committed index `to` by a snapshot and return the snapshot."""
        assert self.snapshot is not None
        assert self.snapshot_index < to <= self.last_index
        first_index = self.snapshot.index
        snapshot = replace(self.snapshot, index=to, term=self.term_at(to) or 0)
        for entry in self.entries_between(first_index, to):
            if entry.kind is EntryKind.CONFIGURATION:
                snapshot = replace(snapshot, configuration=entry.configuration)
            elif entry.kind is EntryKind.DATA:
                snapshot = replace(snapshot, data_index=entry.index, data_term=entry.term, data=entry.data)
        del self.entries[: to - first_index]
        self.snapshot = snapshot
        return self.snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a leader's snapshot.

        Entries after it are kept if the log has the snapshot's last entry (Raft, figure 13, step 6).
        """
        has_last_entry = (
            self.snapshot is not None
            and self.term_at(snapshot.index) == snapshot.term
            and snapshot.index >= self.snapshot_index
        )
        if has_last_entry:
            del self.entries[: snapshot.index - self.snapshot_index]
        else:
            self.entries.clear()
        self.snapshot = snapshot

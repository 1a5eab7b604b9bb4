"""The log of one voter in memory: a snapshot and the entries after it (thesis 3.5, 5.1)."""

from __future__ import annotations

from quincepier.state.voter_records import EntryKind, LogEntry, Member, Snapshot, VoterState


class RaftLog:
    """Entries from the one after the snapshot to the last, without gaps."""

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
        """Return the term of the entry at `index`; None if it is compacted or past the end."""
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
        """Put the entry at its index, in place of the one there and of all after it."""
        del self.entries[entry.index - self.snapshot_index - 1 :]
        self.entries.append(entry)

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries after `index` within both limits, but at least one where there is one."""
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
        """Replace everything up to the committed index `to` by a snapshot, and return that."""
        assert self.snapshot is not None
        assert self.snapshot_index < to <= self.last_index
        previous = self.snapshot
        term = self.term_at(to) or 0
        configuration = previous.configuration
        data_index, data_term, data = previous.data_index, previous.data_term, previous.data
        for entry in self.entries_between(previous.index, to):
            if entry.kind is EntryKind.CONFIGURATION:
                configuration = entry.configuration
            elif entry.kind is EntryKind.DATA:
                data_index, data_term, data = entry.index, entry.term, entry.data
        del self.entries[: to - previous.index]
        self.snapshot = Snapshot(to, term, configuration, data_index, data_term, data)
        return self.snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot; entries after it stay where they continue it (Raft, figure 13, step 6)."""
        continues = (
            self.snapshot is not None
            and self.term_at(snapshot.index) == snapshot.term
            and snapshot.index >= self.snapshot_index
        )
        if continues:
            del self.entries[: snapshot.index - self.snapshot_index]
        else:
            self.entries.clear()
        self.snapshot = snapshot

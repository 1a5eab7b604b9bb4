"""The log of one voter in memory: a snapshot and the lines after it (thesis 3.5, 5.1)."""

from __future__ import annotations

from quincepier.state.voter_records import EntryKind, LogEntry, Member, Snapshot, VoterState


class RaftLog:
    def __init__(self, saved: VoterState | None) -> None:
        self.base = saved.base if saved else None
        self.lines = list(saved.lines) if saved else []

    @property
    def begin(self) -> int:
        """Index of the snapshot."""
        return self.base.index if self.base else 0

    @property
    def last(self) -> int:
        return self.begin + len(self.lines)

    @property
    def last_term(self) -> int:
        return self.lines[-1].term if self.lines else (self.base.term if self.base else 0)

    def term_at(self, index: int) -> int | None:
        """None where the log does not reach, or no longer does."""
        if index == self.begin:
            return self.base.term if self.base else 0
        if self.begin < index <= self.last:
            return self.lines[index - self.begin - 1].term
        return None

    @property
    def roster(self) -> tuple[Member, ...]:
        """The voters by the newest entry, committed or not (thesis 4.1)."""
        for line in reversed(self.lines):
            if line.kind is EntryKind.VOTERS:
                return line.roster
        return self.base.roster if self.base else ()

    @property
    def roster_index(self) -> int:
        """Index of the entry that `roster` is of."""
        return next(
            (line.index for line in reversed(self.lines) if line.kind is EntryKind.VOTERS), self.begin
        )

    def append(self, line: LogEntry) -> None:
        """In the place of the line at that index and of all after it."""
        del self.lines[line.index - self.begin - 1 :]
        self.lines.append(line)

    def after(self, index: int, most: int, bytes_most: int) -> tuple[LogEntry, ...]:
        """Lines after that index, at least one where there is one."""
        given, size = list[LogEntry](), 0
        for line in self.lines[index - self.begin : index - self.begin + most]:
            size += len(line.data)
            if given and size > bytes_most:
                break
            given.append(line)
        return tuple(given)

    def between(self, after: int, to: int) -> list[LogEntry]:
        return self.lines[max(after - self.begin, 0) : to - self.begin]

    def size_after(self, index: int) -> int:
        return sum(len(line.data) for line in self.lines[max(index - self.begin, 0) :])

    def compact(self, to: int) -> Snapshot:
        """Everything up to a committed index becomes the snapshot."""
        assert self.base is not None and self.begin < to <= self.last
        base, term = self.base, self.term_at(to)
        roster, data = base.roster, (base.data_index, base.data_term, base.data)
        for line in self.between(base.index, to):
            if line.kind is EntryKind.VOTERS:
                roster = line.roster
            elif line.kind is EntryKind.DATA:
                data = (line.index, line.term, line.data)
        del self.lines[: to - base.index]
        self.base = Snapshot(to, term or 0, roster, *data)
        return self.base

    def install(self, base: Snapshot) -> None:
        """A snapshot of the leader; lines after it stay where they go on from it (thesis 5.3)."""
        if self.base is not None and self.term_at(base.index) == base.term and base.index >= self.begin:
            del self.lines[: base.index - self.begin]
        else:
            self.lines.clear()
        self.base = base

"""What the leader's log says, all logs say; and from when on an entry is committed (Raft 5.3, 5.4.2, 7).

In plain words: an entry is committed once it is on the disks of a quorum and of the leader's own term, with
all before it; a voter answers for an entry only once it is on its own disk.
"""

from __future__ import annotations

from quincepier.consensus.messages import (
    BATCH_MOST,
    ENTRIES_MOST,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
    StorageRollback,
)
from quincepier.consensus.raft_state import EntryCommitted, FollowerProgress, RaftRole, RaftState
from quincepier.state.voter_records import EntryKind, LogEntry, Member


def beat(mind: RaftState, only_new: bool = False) -> None:
    """A word to each; `only_new`: to those that have not been sent everything."""
    for identity, name in targets(mind):
        peer = mind.peers[identity]
        if not only_new or peer.next <= mind.log.last:
            send(mind, name, identity, peer)
    if not only_new:
        mind.due = mind.now + mind.pace.beat


def targets(mind: RaftState) -> list[tuple[str, str]]:
    named = {m.identity: m.name for m in mind.others()}
    for name, (identity, _, _) in mind.hellos.items():  # one that is being taken in
        if identity in mind.peers:
            named.setdefault(identity, name)
    return [(identity, name) for identity, name in named.items() if identity in mind.peers]


def send(mind: RaftState, name: str, identity: str, peer: FollowerProgress) -> None:
    log, base = mind.log, mind.log.base
    if peer.next <= log.begin:
        if base is not None and (not peer.installed_at or mind.now >= peer.installed_at + mind.pace.install):
            peer.installed_at = mind.now
            mind.send(name, InstallSnapshot(mind.now, base), identity, rests=False)
        return
    lines = log.after(peer.next - 1, ENTRIES_MOST, BATCH_MOST)
    prev = peer.next - 1
    mind.send(
        name, AppendEntries(mind.now, prev, log.term_at(prev) or 0, mind.commit, lines), identity, rests=False
    )
    peer.next += len(lines)


def propose(mind: RaftState, kind: EntryKind, data: bytes = b"", roster: tuple[Member, ...] = ()) -> bool:
    """Whether the entry was begun; not by one who does not lead, nor with too many that wait."""
    log, pace = mind.log, mind.pace
    if mind.part is not RaftRole.LEADS:
        return False
    if log.last - mind.commit >= pace.open_most or log.size_after(mind.commit) + len(data) > pace.open_bytes:
        mind.dropped["proposal"] += 1
        return False
    mind.append(LogEntry(log.last + 1, mind.term, kind, data, roster))
    beat(mind, only_new=True)
    return True


def heard_leader(mind: RaftState, word: Message) -> None:
    """A word of the one who leads this term."""
    if mind.part is not RaftRole.FOLLOWS:
        mind.follow(word.term)
    mind.leader, mind.heard_leader, mind.whole = word.name, mind.now, True
    mind.due = mind.now + mind.span()
    mind.deferred.clear()


def answer(mind: RaftState, word: Message, at: int, taken: bool, match: int) -> None:
    mind.answers += 1
    mind.send(word.name, AppendEntriesResponse(at, taken, match, mind.log.last, mind.answers), word.identity)


def append(mind: RaftState, word: Message, given: AppendEntries) -> None:
    heard_leader(mind, word)
    log = mind.log
    prev, lines = given.prev_index, given.lines
    if prev < log.begin:  # what this voter has as a snapshot is committed, so it is the same
        skip = min(log.begin - prev, len(lines))
        prev, lines = prev + skip, lines[skip:]
        known = prev == log.begin
    else:
        known = log.term_at(prev) == given.prev_term
    if not known or log.base is None:
        back = min(log.last, prev - 1) if prev else 0
        answer(mind, word, given.at, False, back)
        return
    for line in lines:
        if log.term_at(line.index) != line.term:
            mind.append(line)
    match = prev + len(lines)
    answer(mind, word, given.at, True, match)
    commit(mind, min(given.commit, match))


def install(mind: RaftState, word: Message, given: InstallSnapshot) -> None:
    heard_leader(mind, word)
    base = given.base
    if base.index > mind.commit or mind.log.base is None:
        if mind.log.term_at(base.index) != base.term:
            for entry in mind.pending:
                entry[1] = 0
            mind.disk_index = 0
        mind.log.install(base)
        mind.records.append(base)
        mind.commit = mind.told = max(mind.commit, base.index)
        if base.data_index:
            mind.out.append(EntryCommitted(base.data_index, base.data_term, base.data))
    answer(mind, word, given.at, True, base.index)


def appended(mind: RaftState, word: Message, answer: AppendEntriesResponse) -> None:
    peer = mind.peers.get(word.identity)
    if peer is None or answer.at > mind.now or answer.match > mind.log.last:
        mind.dropped["answer"] += 1
        return
    peer.heard = mind.now
    by = (word.starts, answer.number)
    if answer.last < peer.match and by > peer.matched_by:
        # it has forgotten what it once had on its disk: nothing that it says may count any more
        mind.dropped["forgot"] += 1
        mind.send(word.name, StorageRollback(word.starts, word.nonce), word.identity)
        return
    peer.acked = max(peer.acked, answer.at)
    if answer.taken:
        if answer.match > peer.match or not peer.matched_by[0]:
            peer.match, peer.matched_by = answer.match, by
        peer.next = max(peer.next, answer.match + 1)
    elif answer.at >= peer.reset_at:
        peer.reset_at, peer.next = mind.now, max(min(peer.next - 1, answer.match + 1), peer.match + 1)
        send(mind, word.name, word.identity, peer)


def advance(mind: RaftState) -> None:
    """The highest index on a quorum's disks, if it is of this term."""
    if mind.part is not RaftRole.LEADS:
        return
    own = [mind.disk_index] if mind.member else []
    matches = own + [mind.peers[m.identity].match if m.identity in mind.peers else 0 for m in mind.others()]
    matches.sort(reverse=True)
    index = matches[mind.quorum - 1] if len(matches) >= mind.quorum else 0
    if index > mind.commit and mind.log.term_at(index) == mind.term:
        commit(mind, index)
        beat(mind)


def commit(mind: RaftState, index: int) -> None:
    if index <= mind.commit:
        return
    mind.commit = index
    log = mind.log
    for line in log.between(mind.told, index):
        if line.kind is EntryKind.DATA:
            mind.out.append(EntryCommitted(line.index, line.term, line.data))
    mind.told = index
    done = log.between(log.begin, index)
    size = sum(len(line.data) for line in done)
    long = len(done) >= mind.pace.keep or (size > mind.pace.keep_bytes and len(done) > 1)
    if log.base is not None and long:
        mind.records.append(log.compact(index))

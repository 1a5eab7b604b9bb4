"""Who the voters are: the first roster, and one change at a time after it (thesis 4.1, 4.2.1, 4.4).

In plain words: a voter is a name and an identity, and the identity ends with its folder. The first roster
holds once every voter named in the file is bound to that same one, on its disk; a voter is bound once. After
that only the log changes it, by one voter, after the change before was committed and something of the
leader's term too. So one that lost its folder is left out, and taken in as another,
by two changes that a quorum agreed.
"""

from __future__ import annotations

from quincepier.consensus.messages import Hello, Message, StorageRollback
from quincepier.consensus.raft_state import SEEN_MOST, FollowerProgress, RaftRole, RaftState
from quincepier.consensus.replication import propose
from quincepier.state.voter_records import VOTERS_MOST, EntryKind, Member, Snapshot

LEAST = 2  # voters of a roster


def tick(mind: RaftState) -> None:
    if mind.part is RaftRole.LEADS:
        change(mind)
    elif mind.now >= mind.asks_due and (not mind.member or not mind.whole):
        mind.asks_due = mind.now + mind.pace.ask
        found(mind)
        for name in mind.voters:
            if name != mind.name:
                mind.send(name, Hello(mind.roster))


def found(mind: RaftState) -> None:
    """The first name in order binds itself once it has heard all; the others bind to what it says."""
    if mind.log.base is not None or mind.term or mind.name != min(mind.voters):
        return
    heard = {n: i for n, (i, roster, _) in mind.hellos.items() if not roster and n in mind.voters}
    if len(heard) == len(mind.voters) - 1:
        heard[mind.name] = mind.identity
        bind(mind, tuple(Member(n, heard[n]) for n in sorted(heard)))


def bind(mind: RaftState, roster: tuple[Member, ...]) -> None:
    base = Snapshot(0, 0, roster)
    mind.log.install(base)
    mind.records.append(base)


def hello(mind: RaftState, word: Message, said: Hello) -> None:
    mind.hellos[word.name] = (word.identity, said.roster, mind.now)
    names = tuple(m.name for m in said.roster)
    mine = Member(mind.name, mind.identity)
    whole = names == tuple(sorted(mind.voters)) and mine in said.roster
    if whole and mind.log.base is None and not mind.term:
        bind(mind, said.roster)
    if not mind.whole and mind.log.base is not None and mind.log.last == 0:
        told = {m.name: m for m in mind.roster}
        mind.whole = all(
            n == mind.name or ((h := mind.hellos.get(n)) and h[0] == told[n].identity and h[1] == mind.roster)
            for n in told
        )
    if word.to == "" and (mind.whole or mind.log.base is not None):
        mind.send(word.name, Hello(mind.roster), word.identity)


def change(mind: RaftState) -> None:
    """The one change that is wanted next, where one may be made at all."""
    pace, log = mind.pace, mind.log
    if mind.commit < mind.first or log.roster_index > mind.commit:
        return
    roster = {m.name: m.identity for m in mind.roster}
    for name, identity in roster.items():
        lost = name != mind.name and (h := mind.hellos.get(name)) is not None and h[0] != identity
        peer = mind.peers.get(identity)
        if lost and peer is not None and mind.now - peer.heard < pace.most:
            lost = False  # the old one still answers: a copy of the name, not a loss
        if (lost or (name not in mind.voters and name != mind.name)) and len(roster) > LEAST:
            set_roster(mind, {n: i for n, i in roster.items() if n != name})
            return
    for name in mind.voters:
        said = mind.hellos.get(name)
        if name in roster or said is None or mind.now - said[2] > pace.most or len(roster) >= VOTERS_MOST:
            continue
        peer = mind.peers.setdefault(said[0], FollowerProgress(0, heard=mind.now))
        if peer.match >= log.begin and peer.match >= mind.commit and peer.matched_by[0]:
            set_roster(mind, {**roster, name: said[0]})
            return


def set_roster(mind: RaftState, roster: dict[str, str]) -> None:
    members = tuple(Member(n, roster[n]) for n in sorted(roster))
    propose(mind, EntryKind.VOTERS, roster=members)
    keep = {m.identity for m in members}
    for identity in [i for i in mind.peers if i not in keep]:
        del mind.peers[identity]


def marked(mind: RaftState, word: Message) -> bool:
    """Whether this start is the newest known of that voter. An older one is a folder that was put back."""
    key, start = (word.name, word.identity), (word.starts, word.nonce)
    known = mind.seen.get(key)
    if known is not None and (start[0] < known[0] or (start[0] == known[0] and start[1] != known[1])):
        mind.dropped["older"] += 1
        mind.send(word.name, StorageRollback(word.starts, word.nonce), word.identity)
        return False
    mind.seen.pop(key, None)
    mind.seen[key] = start
    if len(mind.seen) > SEEN_MOST:
        del mind.seen[next(iter(mind.seen))]
    return True


def off(mind: RaftState, told: StorageRollback) -> None:
    if (told.starts, told.nonce) == (mind.starts, mind.nonce):
        mind.forgot += 1
        mind.begin_anew()

"""Who leads: pre-vote, vote, and when a leader gives up (Raft 5.2, 5.4.1; thesis 4.2.3, 6.2, 9.6).

In plain words: at most one voter is voted for in a term by each voter, and that is on disk before it is said;
nobody is voted for whose log is behind; nobody helps another to lead within `least` of a leader's word, nor
within `least` of its own start; a leader that no quorum answered for `most` leads no longer.
"""

from __future__ import annotations

from quincepier.consensus.messages import Message, RequestVote, VoteResponse
from quincepier.consensus.raft_state import FollowerProgress, RaftRole, RaftState
from quincepier.state.voter_records import EntryKind, LogEntry


def may_stand(mind: RaftState) -> bool:
    return mind.member and mind.whole and not mind.pending


def tick(mind: RaftState) -> None:
    """One who follows and heard nobody asks; one who stands and had no quorum begins anew."""
    if mind.part is RaftRole.LEADS:
        quorum_answered(mind)
        return
    if mind.now >= mind.due:
        mind.leader = None
        mind.due = mind.now + mind.span()
        if not may_stand(mind):
            mind.part = RaftRole.FOLLOWS
            return
        mind.granted = {mind.identity}
        if mind.pace.prevote:
            mind.part = RaftRole.ASKS
        else:
            stand(mind)
        mind.asks_due = mind.now
    if mind.part in (RaftRole.ASKS, RaftRole.STANDS) and mind.now >= mind.asks_due:
        mind.asks_due = mind.now + mind.pace.ask
        ask(mind)


def ask(mind: RaftState) -> None:
    pre = mind.part is RaftRole.ASKS
    for m in mind.others():
        if m.identity not in mind.granted:
            question = RequestVote(pre, mind.term + pre, mind.log.last, mind.log.last_term)
            mind.send(m.name, question, m.identity)


def stand(mind: RaftState) -> None:
    mind.part, mind.term, mind.vote = RaftRole.STANDS, mind.term + 1, mind.identity
    mind.granted = {mind.identity}
    mind.due = mind.now + mind.span()


def newer(mind: RaftState, question: RequestVote) -> bool:
    """Whether that log holds all that may be committed here (Raft 5.4.1)."""
    return (question.last_term, question.last_index) >= (mind.log.last_term, mind.log.last)


def yields(mind: RaftState, word: Message, question: RequestVote) -> bool:
    """Of two that ask at once one goes first: on slow ways both would stand, and neither have a quorum."""
    theirs = (question.last_term, question.last_index, word.identity)
    return word.identity in mind.deferred or theirs > (mind.log.last_term, mind.log.last, mind.identity)


def asked(mind: RaftState, word: Message, question: RequestVote) -> None:
    bound = mind.part is RaftRole.LEADS or mind.now < mind.heard_leader + mind.pace.least
    if question.pre:
        granted = not bound and question.term > mind.term and newer(mind, question)
        if granted and mind.part is RaftRole.ASKS and not yields(mind, word, question):
            granted = False
        elif granted and mind.part is not RaftRole.STANDS and word.identity not in mind.deferred:
            # once for each: one that asks for ever and is never answered would keep all others back
            mind.deferred.add(word.identity)
            mind.part, mind.due = RaftRole.FOLLOWS, mind.now + mind.span()
        mind.send(word.name, VoteResponse(True, question.term, granted), word.identity)
        return
    if bound:
        return  # not even its term is taken over: whoever is cut off does not end the lead of others
    mind.whole = True
    if question.term > mind.term:
        mind.follow(question.term)
    granted = question.term == mind.term and mind.vote in ("", word.identity) and newer(mind, question)
    granted = granted and mind.part is RaftRole.FOLLOWS
    if granted:
        mind.vote = word.identity
        mind.due = mind.now + mind.span()
    mind.send(word.name, VoteResponse(False, question.term, granted), word.identity)


def voted(mind: RaftState, word: Message, vote: VoteResponse) -> None:
    if not vote.granted or word.identity not in {m.identity for m in mind.roster}:
        return
    if vote.pre and mind.part is RaftRole.ASKS and vote.term == mind.term + 1:
        mind.granted.add(word.identity)
        if len(mind.granted) >= mind.quorum:
            stand(mind)
            mind.asks_due = mind.now + mind.pace.ask
            ask(mind)
    elif not vote.pre and mind.part is RaftRole.STANDS and vote.term == mind.term:
        mind.granted.add(word.identity)
        if len(mind.granted) >= mind.quorum:
            lead(mind)


def lead(mind: RaftState) -> None:
    """The first entry of a term commits what was before it, which by count alone may not be (Raft 5.4.2)."""
    mind.part, mind.leader, mind.led_since, mind.lease_until = RaftRole.LEADS, mind.name, mind.now, 0
    mind.peers = {m.identity: FollowerProgress(mind.log.last + 1, heard=mind.now) for m in mind.others()}
    mind.first = mind.log.last + 1
    mind.append(LogEntry(mind.first, mind.term, EntryKind.NOTHING))
    mind.due = mind.now


def quorum_answered(mind: RaftState) -> None:
    """The lease, and the end of leading without a quorum, or with a disk that hangs."""
    sent = answered(mind)
    hangs = bool(mind.pending) and mind.now - mind.pending[0][2] >= mind.pace.most
    if hangs or mind.now - max(sent, mind.led_since) >= mind.pace.most:
        mind.follow(mind.term)
    elif sent and mind.commit >= mind.first:
        mind.lease_until = max(mind.lease_until, sent + mind.pace.lease)


def answered(mind: RaftState) -> int:
    """The leader's time at which a quorum's newest answered words were sent; 0: none yet."""
    own = [mind.now] if mind.member else []
    times = own + [mind.peers[m.identity].acked for m in mind.others() if m.identity in mind.peers]
    times.sort(reverse=True)
    return times[mind.quorum - 1] if len(times) >= mind.quorum else 0

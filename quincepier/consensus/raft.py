"""One voter: times and words in, words and records out. The same calls give the same actions."""

from __future__ import annotations

from quincepier.consensus import cluster_configuration, election, replication
from quincepier.consensus.election_timeouts import ElectionTimeouts
from quincepier.consensus.errors import ConsensusError
from quincepier.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Hello,
    InstallSnapshot,
    InvalidMessageError,
    Message,
    RequestVote,
    StorageRollback,
    VoteResponse,
    decode,
)
from quincepier.consensus.raft_state import Action, RaftRole, RaftState
from quincepier.state.voter_records import DATA_MOST, VOTERS_MOST, EntryKind, Member, VoterState


class Raft:
    """`voters` as the file names them, 3 to 7, this one among them; `saved` as the log on disk gave it, None
    for a new folder; times in monotonic ns. `seed` differs at each start: of it come identities and waits.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        saved: VoterState | None,
        now: int,
        seed: int,
        pace: ElectionTimeouts | None = None,
    ) -> None:
        if not 3 <= len(set(voters)) <= VOTERS_MOST or len(set(voters)) != len(voters):
            raise ConsensusError("three to seven different voters are needed", "voters")
        if not all(1 <= len(n) <= 64 for n in voters):
            raise ConsensusError("a voter's name has 1 to 64 characters", "voters")
        if name not in voters:
            raise ConsensusError(f"{name} is not among the voters", "voters")
        self._mind = RaftState(name, voters, saved, now, seed, pace or ElectionTimeouts())

    def tick(self, now: int) -> list[Action]:
        """To be called at `wake`, and once after the start."""
        mind = self._at(now)
        election.tick(mind)
        if mind.part is RaftRole.LEADS and mind.now >= mind.due:
            replication.beat(mind)
        cluster_configuration.tick(mind)
        return mind.flush()

    def heard(self, now: int, sender: str, raw: bytes) -> list[Action]:
        """A word that came from that name; what is none is dropped and counted in `dropped`."""
        mind = self._at(now)
        try:
            word = decode(raw, sender)
        except InvalidMessageError:
            mind.dropped["bad"] += 1
            return mind.flush()
        if sender not in mind.voters and sender not in {m.name for m in mind.roster}:
            mind.dropped["stranger"] += 1
        elif len(mind.pending) >= mind.pace.stores_most:
            mind.dropped["disk"] += 1
        elif word.to not in ("", mind.identity) or (word.to == "" and not isinstance(word.body, Hello)):
            mind.dropped["other identity"] += 1
            if not isinstance(word.body, Hello | StorageRollback):
                mind.send(sender, Hello(mind.roster), word.identity)
        elif cluster_configuration.marked(mind, word):
            self._hear(mind, word)
            if mind.part is RaftRole.LEADS:
                election.tick(mind)
                if mind.now >= mind.due:
                    replication.beat(mind)
            replication.advance(mind)
        return mind.flush()

    @staticmethod
    def _hear(mind: RaftState, word: Message) -> None:
        body = word.body
        if word.term > mind.term and isinstance(
            body, AppendEntries | InstallSnapshot | AppendEntriesResponse | VoteResponse
        ):
            mind.follow(word.term)
        match body:
            case Hello():
                cluster_configuration.hello(mind, word, body)
            case StorageRollback():
                cluster_configuration.off(mind, body)
            case RequestVote():
                election.asked(mind, word, body)
            case VoteResponse():
                election.voted(mind, word, body)
            case _ if word.term < mind.term:
                if isinstance(
                    body, AppendEntries | InstallSnapshot
                ):  # so that an old leader learns of the new term
                    replication.answer(mind, word, body.at, False, 0)
            case AppendEntries() if mind.part is not RaftRole.LEADS:
                replication.append(mind, word, body)
            case InstallSnapshot() if mind.part is not RaftRole.LEADS:
                replication.install(mind, word, body)
            case AppendEntriesResponse() if mind.part is RaftRole.LEADS:
                replication.appended(mind, word, body)

    def propose(self, now: int, data: bytes) -> list[Action]:
        """Entry of at most 1 MiB and some. It is agreed once it comes as `Committed`, and may be lost before;
        nothing is begun where this voter does not lead, or its lease is over.
        """
        if len(data) > DATA_MOST:
            raise ConsensusError(f"an entry of {len(data)} bytes", "propose", "make the rule version smaller")
        mind = self._at(now)
        election.tick(mind)
        replication.propose(mind, EntryKind.DATA, data)
        return mind.flush()

    def stored(self, now: int, ticket: int) -> list[Action]:
        """All up to this ticket is on disk. Sends that waited for it are to go out before this is called."""
        mind = self._at(now)
        while mind.pending and mind.pending[0][0] <= ticket:
            mind.disk_index = mind.pending.popleft()[1]
        mind.stored = max(mind.stored, ticket)
        replication.advance(mind)
        return mind.flush()

    def _at(self, now: int) -> RaftState:
        self._mind.now = max(self._mind.now, now)
        return self._mind

    @property
    def wake(self) -> int:
        """When `tick` is wanted next, ns."""
        mind = self._mind
        if mind.records or mind.out:
            return mind.now
        asks = mind.part in (RaftRole.ASKS, RaftRole.STANDS) or not mind.member or not mind.whole
        return min(mind.due, mind.asks_due) if asks and mind.part is not RaftRole.LEADS else mind.due

    @property
    def leader(self) -> str | None:
        return self._mind.leader

    @property
    def term(self) -> int:
        return self._mind.term

    @property
    def leads(self) -> bool:
        """Whether it leads and something of its term is committed; for reads see `lease_until`."""
        mind = self._mind
        return mind.part is RaftRole.LEADS and mind.commit >= mind.first

    @property
    def lease_until(self) -> int:
        """Until then no other can lead; ns, 0 where it does not lead. To be checked after each pause."""
        return self._mind.lease_until

    @property
    def voting(self) -> bool:
        """Whether it counts for a quorum, as far as it knows: not one that lost its folder."""
        return self._mind.member

    @property
    def identity(self) -> str:
        return self._mind.identity

    @property
    def roster(self) -> tuple[Member, ...]:
        """The voters by its log."""
        return self._mind.roster

    @property
    def commit(self) -> int:
        return self._mind.commit

    @property
    def dropped(self) -> dict[str, int]:
        """What was not taken: bad, stranger, disk, other identity, older, answer, forgot, proposal."""
        return dict(self._mind.dropped)

    @property
    def forgot(self) -> int:
        """Times that it was told off: an older copy of its folder had been put back."""
        return self._mind.forgot

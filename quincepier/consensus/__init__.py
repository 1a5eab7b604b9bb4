"""What three to seven voters agree on: a log of opaque entries, of which the newest committed one counts.

It decides who leads, what is committed and who votes (Raft: Ongaro and Ousterhout 2014; Ongaro's thesis). It
never sends, stores, looks at a clock or at what an entry says. Read `voter.py` first, then `mind.py`;
docs/agreement.md.
"""

from quincepier.consensus.election_timeouts import ElectionTimeouts
from quincepier.consensus.errors import ConsensusError
from quincepier.consensus.raft import Raft
from quincepier.consensus.raft_state import Action, EntryCommitted, LeaderChanged, PersistRecords, SendMessage

__all__ = [
    "Action",
    "ConsensusError",
    "ElectionTimeouts",
    "EntryCommitted",
    "LeaderChanged",
    "PersistRecords",
    "Raft",
    "SendMessage",
]

"""Consensus among three to seven voters on a log of opaque entries; only the newest committed entry is used.

Raft (Ongaro and Ousterhout 2014; Ongaro's thesis): leader election, log replication, configuration changes.
The package does no I/O, reads no clock and does not interpret entries. Start reading at `raft.py`, then
`raft_state.py`; docs/agreement.md describes the protocol and its use.
"""

from quincepier.consensus.actions import (
    Action,
    EntryCommitted,
    LeaderChanged,
    PersistRecords,
    SendMessage,
)
from quincepier.consensus.config import ElectionTimeouts, RaftConfig, RaftLimits
from quincepier.consensus.errors import ConsensusError
from quincepier.consensus.raft import Raft

__all__ = [
    "Action",
    "ConsensusError",
    "ElectionTimeouts",
    "EntryCommitted",
    "LeaderChanged",
    "PersistRecords",
    "Raft",
    "RaftConfig",
    "RaftLimits",
    "SendMessage",
]

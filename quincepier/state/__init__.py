"""What a front has learned, kept in a folder over its starts.

It decides how a record is written and checked (`record.py`), what it holds and how older versions are read
(`kept.py`, `versions.py`), which of two generations counts and what a cut of power may leave (`store.py`). It
never decides what an old fact is worth: that is `recovery`'s. Read `store.py` first; docs/state.md.
"""

from quincepier.state.learned_state import LearnedState, MachineRecord, Timestamp, age_of
from quincepier.state.record_format import RECORD_MOST, RecordFault, StateError, pack_record, unpack_record
from quincepier.state.snapshot_store import FileSystem, LoadedSnapshot, SnapshotStore

__all__ = [
    "RECORD_MOST",
    "FileSystem",
    "LearnedState",
    "LoadedSnapshot",
    "MachineRecord",
    "RecordFault",
    "SnapshotStore",
    "StateError",
    "Timestamp",
    "age_of",
    "pack_record",
    "unpack_record",
]

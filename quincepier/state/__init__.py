"""Learned state of a front, stored in a folder so that it survives restarts.

`record_format` writes and verifies single records, `learned_state` and `schema_upgrades` define their
content, `snapshot_store` keeps two generations of it, and `fact_conversion` maps it to the router's facts.
`quincepier.recovery` decides which weight an old fact still has. See docs/state.md.
"""

from quincepier.state.file_system import FileSystem
from quincepier.state.learned_state import LearnedState, MachineRecord
from quincepier.state.record_format import (
    MAX_RECORD_BYTES,
    RecordFault,
    StateError,
    pack_record,
    unpack_record,
)
from quincepier.state.snapshot_store import LoadedSnapshot, SnapshotStore
from quincepier.state.timestamps import Timestamp, age_of, current_timestamp

__all__ = [
    "MAX_RECORD_BYTES",
    "FileSystem",
    "LearnedState",
    "LoadedSnapshot",
    "MachineRecord",
    "RecordFault",
    "SnapshotStore",
    "StateError",
    "Timestamp",
    "age_of",
    "current_timestamp",
    "pack_record",
    "unpack_record",
]

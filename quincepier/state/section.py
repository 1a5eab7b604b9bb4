"""The section `state` of the operators' file: the folder for learned state and the interval of its writes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec


class StateSection(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"write_interval_s": "every_s", "final_write_timeout_ms": "end_ms"},
):
    """The keys of the section.

    Attributes:
        folder: Absolute path of a folder that no other front uses.
        write_interval_s: Mean time between two writes, in seconds (`every_s`).
        final_write_timeout_ms: How long a stopping front waits for its last write, in milliseconds
            (`end_ms`); 0 for no such write.
    """

    folder: Annotated[str, msgspec.Meta(min_length=1, max_length=4096)]
    write_interval_s: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 2
    final_write_timeout_ms: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 200

    def __post_init__(self) -> None:
        if "\0" in self.folder or not Path(self.folder).is_absolute():
            raise ValueError("folder must be an absolute path")

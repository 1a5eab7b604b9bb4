"""The section `consistency` of the operators' file: how often fronts are compared, and over how much."""

from __future__ import annotations

from typing import Annotated

import msgspec

SECOND = 1_000_000_000


class ConsistencySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A round compares `sample` keys every `every_s`; `witnessed` is the share of requests looked at."""

    sample: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    every_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 10
    witnessed: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    late_list_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 30

    @property
    def every(self) -> int:
        """Nanoseconds."""
        return int(self.every_s * SECOND)

    @property
    def late_list(self) -> int:
        """Nanoseconds."""
        return int(self.late_list_s * SECOND)

"""The section `consistency` of the operators' file: how often fronts are compared, and over how many keys."""

from __future__ import annotations

from typing import Annotated

import msgspec

NS_PER_S = 1_000_000_000


class ConsistencySection(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "sample_size": "sample",
        "round_interval_s": "every_s",
        "recorded_share": "witnessed",
        "max_list_lag_s": "late_list_s",
    },
):
    """Settings of the comparison; key names of the operators' file stand in parentheses.

    Attributes:
        sample_size: Number of keys decided in a round (`sample`).
        round_interval_s: Seconds between the starts of two rounds (`every_s`).
        recorded_share: Share of the requests whose decisions are recorded and explained (`witnessed`).
        max_list_lag_s: Seconds for which a front may have an outdated endpoint list (`late_list_s`).
    """

    sample_size: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    round_interval_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 10
    recorded_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.01
    max_list_lag_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 30

    @property
    def round_interval_ns(self) -> int:
        """The interval between rounds in nanoseconds."""
        return int(self.round_interval_s * NS_PER_S)

    @property
    def max_list_lag_ns(self) -> int:
        """The longest lag of an endpoint list that is not a fault, in nanoseconds."""
        return int(self.max_list_lag_s * NS_PER_S)

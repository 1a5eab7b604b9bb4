"""The section `maintenance` of the operators' file: requested maintenance and limits of unavailability.

The keys of the file keep their first wording; each struct maps them to its fields in `rename`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from quincepier.maintenance.errors import MaintenanceError
from quincepier.rules.version import Name

MAX_REQUESTS = 64
MAX_TARGETS = 4096  # machines or fronts that one request names
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_TARGETS)]
NameByHost = Annotated[dict[str, str], msgspec.Meta(max_length=MAX_TARGETS)]
Zone = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=4096)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
TargetKind = Literal["cache", "parent", "front"]
TARGET_KINDS: tuple[TargetKind, ...] = ("cache", "parent", "front")


class UnavailableLimits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"max_per_zone": "zone", "max_total": "all", "min_available_per_zone": "least"},
):
    """How many targets of one kind may be unavailable at once, and how many must stay in service."""

    max_per_zone: Count = 1
    max_total: Count = 1
    min_available_per_zone: Count = 0


class UnavailableByKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of each kind of target."""

    cache: UnavailableLimits = UnavailableLimits()
    parent: UnavailableLimits = UnavailableLimits()
    front: UnavailableLimits = UnavailableLimits()

    def for_kind(self, kind: str) -> UnavailableLimits:
        """Return the limits of `kind`; any other text than cache or parent means fronts."""
        return {"cache": self.cache, "parent": self.parent}.get(kind, self.front)


class MaintenanceRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"finished_targets": "finished", "replacement_by_host": "replaced"},
):
    """Maintenance that operators request once.

    Targets are machines by host id, fronts by name, or all of a kind, in one zone or in all.
    """

    id: Name
    machines: Names = ()
    fronts: Names = ()
    kind: TargetKind | None = None
    zone: Zone = ""  # with `kind`; empty: every zone
    pause: bool = False  # no task starts, and no target is declared empty
    stop: bool = False  # tasks that are not empty yet are cancelled; the others run to their end
    finished_targets: Names = ()  # their maintenance is over, though no restart was observed
    replacement_by_host: NameByHost = {}  # old host id to new

    def __post_init__(self) -> None:
        if not (self.machines or self.fronts or self.kind):
            raise MaintenanceError("names no machines, no fronts and no kind", f"wish {self.id}")
        if self.kind and (self.machines or self.fronts):
            raise MaintenanceError("names a kind, and machines or fronts besides", f"wish {self.id}")
        if self.zone and not self.kind:
            raise MaintenanceError("names a zone without a kind", f"wish {self.id}")
        if self.kind == "front" and self.zone:
            raise MaintenanceError("zones of fronts are not known to the fleet", f"wish {self.id}")


class MaintenanceSection(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "requests": "wishes",
        "unavailable_limits": "allowed",
        "min_service_ratio": "floor",
        "min_service_ratio_to_start": "as_before",
        "min_responses": "enough",
        "decommissioned_fronts": "gone",
    },
):
    """Maintenance requests and the limits that hold for all of them.

    Service ratios are of the baseline: the share of priority weight that was served within the latency
    objective, over the share that is usual for the tenant.
    """

    requests: Annotated[tuple[MaintenanceRequest, ...], msgspec.Meta(max_length=MAX_REQUESTS)] = ()
    unavailable_limits: UnavailableByKind = UnavailableByKind()
    min_service_ratio: Ratio = 0.9  # below it tasks that are not empty yet are cancelled
    min_service_ratio_to_start: Ratio = 0.98  # below it no task starts
    min_responses: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 200  # of a tenant, to be judged
    decommissioned_fronts: Names = ()  # their processes have ended for good; nothing waits for them

    def __post_init__(self) -> None:
        ids = [request.id for request in self.requests]
        duplicate = next((i for i in ids if ids.count(i) > 1), None)
        if duplicate is not None:
            raise MaintenanceError("two wishes have this id; each is one text", f"wish {duplicate}")
        if self.min_service_ratio > self.min_service_ratio_to_start:
            raise MaintenanceError("floor is above as_before")

    def find_request(self, request_id: str) -> MaintenanceRequest | None:
        """Return the request of that id, or None."""
        return next((request for request in self.requests if request.id == request_id), None)

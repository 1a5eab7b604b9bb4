"""The section `maintenance` of the operators' file: maintenance requests and limits of unavailable targets.

Some keys of the file differ from the field names; each struct maps its keys to fields in `rename`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from quincepier.maintenance.errors import MaintenanceError
from quincepier.rules.version import Name

MAX_REQUESTS = 64
MAX_TARGETS = 4096  # machines or fronts named by one request
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
    """How many targets of one kind may be unavailable at once, and how many must remain available."""

    max_per_zone: Count = 1
    max_total: Count = 1
    min_available_per_zone: Count = 0


class UnavailableByKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of each kind of target."""

    cache: UnavailableLimits = UnavailableLimits()
    parent: UnavailableLimits = UnavailableLimits()
    front: UnavailableLimits = UnavailableLimits()

    def for_kind(self, kind: str) -> UnavailableLimits:
        """Return the limits of `kind`; any value other than "cache" and "parent" selects those of fronts."""
        return {"cache": self.cache, "parent": self.parent}.get(kind, self.front)


class MaintenanceRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"finished_targets": "finished", "replacement_by_host": "replaced"},
):
    """A maintenance request of the operators; each target gets maintenance once.

    The targets are machines by host id, fronts by name, or all machines or fronts of a kind, where machines
    may be restricted to one zone.
    """

    id: Name
    machines: Names = ()
    fronts: Names = ()
    kind: TargetKind | None = None
    zone: Zone = ""  # with `kind`; empty for all zones
    pause: bool = False  # no task starts, and no target becomes drained
    stop: bool = False  # cancels the tasks whose targets are not drained yet; the others continue
    finished_targets: Names = ()  # their maintenance is over, although no restart was observed
    replacement_by_host: NameByHost = {}  # new host id by the old one

    def __post_init__(self) -> None:
        if not (self.machines or self.fronts or self.kind):
            raise MaintenanceError("names no machines, no fronts and no kind", f"wish {self.id}")
        if self.kind and (self.machines or self.fronts):
            raise MaintenanceError("names a kind and also machines or fronts besides", f"wish {self.id}")
        if self.zone and not self.kind:
            raise MaintenanceError("names a zone without a kind", f"wish {self.id}")
        if self.kind == "front" and self.zone:
            raise MaintenanceError("names a zone, but fronts have none", f"wish {self.id}")


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

    A service ratio is the share of priority weight that was served within the latency objective, divided by
    the tenant's baseline of this share.
    """

    requests: Annotated[tuple[MaintenanceRequest, ...], msgspec.Meta(max_length=MAX_REQUESTS)] = ()
    unavailable_limits: UnavailableByKind = UnavailableByKind()
    min_service_ratio: Ratio = 0.9  # below it, tasks whose targets are not drained yet are cancelled
    min_service_ratio_to_start: Ratio = 0.98  # below it, no task starts
    min_responses: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 200  # a tenant with fewer is not judged
    decommissioned_fronts: Names = ()  # stopped for good: their leases are not waited for

    def __post_init__(self) -> None:
        ids = [request.id for request in self.requests]
        duplicate = next((i for i in ids if ids.count(i) > 1), None)
        if duplicate is not None:
            raise MaintenanceError("two wishes have this id; each needs its own", f"wish {duplicate}")
        if self.min_service_ratio > self.min_service_ratio_to_start:
            raise MaintenanceError("floor is above as_before")

    def find_request(self, request_id: str) -> MaintenanceRequest | None:
        """Return the request with the id, or None."""
        return next((request for request in self.requests if request.id == request_id), None)

"""The section `maintenance` of the operators' file: wishes for work, and how much may be out at once."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from quincepier.maintenance.errors import MaintenanceError
from quincepier.rules.version import Name

WISHES_MOST, TARGETS_MOST = 64, 4096
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=TARGETS_MOST)]
Zone = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=4096)]


class UnavailableLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Out at once of one kind, in any zone and over all; how many of each zone stay in service at least."""

    zone: Count = 1
    all: Count = 1
    least: Count = 0


class UnavailableByKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cache: UnavailableLimits = UnavailableLimits()
    parent: UnavailableLimits = UnavailableLimits()
    front: UnavailableLimits = UnavailableLimits()

    def of(self, kind: str) -> UnavailableLimits:
        return {"cache": self.cache, "parent": self.parent}.get(kind, self.front)


class MaintenanceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Work that is wanted once: for machines by host id, fronts by name, or all of a kind (in one zone)."""

    id: Name
    machines: Names = ()
    fronts: Names = ()
    kind: Literal["cache", "parent", "front"] | None = None
    zone: Zone = ""  # with `kind`; empty: every zone
    pause: bool = False  # nothing new begins, and none is called empty
    stop: bool = False  # what is not empty yet is used again; what is goes on until it is back
    finished: Names = ()  # work is over there, though no new start was seen
    replaced: Annotated[dict[str, str], msgspec.Meta(max_length=TARGETS_MOST)] = {}  # old host id to new

    def __post_init__(self) -> None:
        if not (self.machines or self.fronts or self.kind):
            raise MaintenanceError("names no machines, no fronts and no kind", f"wish {self.id}")
        if self.kind and (self.machines or self.fronts):
            raise MaintenanceError("names a kind, and machines or fronts besides", f"wish {self.id}")
        if self.zone and not self.kind:
            raise MaintenanceError("names a zone without a kind", f"wish {self.id}")
        if self.kind == "front" and self.zone:
            raise MaintenanceError("zones of fronts are not known to the fleet", f"wish {self.id}")


class MaintenanceSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Worth in time over worth asked for, per tenant, is held against what it usually was."""

    wishes: Annotated[tuple[MaintenanceRequest, ...], msgspec.Meta(max_length=WISHES_MOST)] = ()
    allowed: UnavailableByKind = UnavailableByKind()
    # parts of the usual: below `floor` an order stops by itself, below `as_before` none begins
    floor: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.9
    as_before: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.98
    enough: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 200  # answers of a tenant, to tell by
    gone: Names = ()  # fronts that are no more: they hold nothing up

    def __post_init__(self) -> None:
        ids = [wish.id for wish in self.wishes]
        twice = next((i for i in ids if ids.count(i) > 1), None)
        if twice is not None:
            raise MaintenanceError("two wishes have this id; each is one text", f"wish {twice}")
        if self.floor > self.as_before:
            raise MaintenanceError("floor is above as_before")

    def wish(self, id: str) -> MaintenanceRequest | None:
        return next((wish for wish in self.wishes if wish.id == id), None)

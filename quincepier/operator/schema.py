"""The sections that an operators' file may have: by name, where the struct of each is.

A section is a frozen msgspec struct. One with types of its own tells in `MADE` how each is made of a plain
value; what makes them raises ValueError. A new subsystem adds a line here.
"""

from __future__ import annotations

from importlib import import_module
from typing import Literal

import msgspec

SECTIONS = {
    "log": "quincepier.operator.schema:LogSection",
    "addresses": "quincepier.addresses.section:AddressesSection",
    "clients": "quincepier.clients.section:ClientsSection",
    "state": "quincepier.state.section:StateSection",
    "members": "quincepier.membership.section:MembersSection",
    "agreement": "quincepier.net.fleet.section:AgreementSection",
    "maintenance": "quincepier.maintenance.section:MaintenanceSection",
    "tenants": "quincepier.tenancy.section:TenantsSection",
    "consistency": "quincepier.consistency.section:ConsistencySection",
}


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How log lines are written: `text`, the default, or `json`, one flat object a line."""

    format: Literal["text", "json"] = "text"


def section(name: str) -> type[msgspec.Struct]:
    """The struct of a section, its package imported."""
    module, _, struct = SECTIONS[name].partition(":")
    found: type[msgspec.Struct] = getattr(import_module(module), struct)
    return found

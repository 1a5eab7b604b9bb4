"""The sections that an operators' file may have, by name, and the struct of each.

A section is a frozen msgspec struct. If its fields have types that msgspec can't convert, its attribute
`MADE` maps each such type to a function that converts a plain value to it, or raises ValueError.
A new subsystem adds its section here.
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
    """The format of log lines.

    Attributes:
        format: `text`, or `json`: one flat object a line.
    """

    format: Literal["text", "json"] = "text"


def load_section(name: str) -> type[msgspec.Struct]:
    """Import a section's package and return its struct."""
    module, _, struct_name = SECTIONS[name].partition(":")
    struct: type[msgspec.Struct] = getattr(import_module(module), struct_name)
    return struct

"""Lookup of a request's tenant by the prefix of its item, since the wire has no field for the tenant."""

from __future__ import annotations

from quincepier.tenancy.section import TenantsSection

NO_TENANT = 0


class TenantLookup:
    """Tenants numbered from 1 in the order of their names; `NO_TENANT` is for requests without a tenant."""

    def __init__(self, section: TenantsSection) -> None:
        self.names: tuple[str, ...] = ("", *sorted(section.tenant_by_name))
        self._number_by_prefix = {
            prefix: number
            for number, name in enumerate(self.names)
            if number != NO_TENANT
            for prefix in section.tenant_by_name[name].item_prefixes
        }
        self._prefix_lengths = sorted({len(prefix) for prefix in self._number_by_prefix})

    def tenant_of(self, item: str) -> int:
        """Return the number of an item's tenant. No prefix begins with another, so at most one matches."""
        for length in self._prefix_lengths:
            if number := self._number_by_prefix.get(item[:length]):
                return number
        return NO_TENANT

    def name_of(self, number: int) -> str:
        """Return the tenant's name, or "" for `NO_TENANT` and for unknown numbers."""
        return self.names[number] if 0 <= number < len(self.names) else ""

"""Which tenant a request is of: the wire has no field for it, so its item's name tells."""

from __future__ import annotations

from quincepier.tenancy.section import TenantsSection


class TenantLookup:
    """Numbers of tenants in the order of their names, from 1; 0 is nobody's. By the section alone."""

    def __init__(self, section: TenantsSection) -> None:
        self.names: tuple[str, ...] = ("", *sorted(section.tenants))
        self._by_item = {
            item: number
            for number, name in enumerate(self.names)
            if name
            for item in section.tenants[name].items
        }
        self._lengths = sorted({len(item) for item in self._by_item})

    def tenant_of(self, item: str) -> int:
        """The number for `RequestReceived.tenant`; no prefix is within another, so at most one fits."""
        for length in self._lengths:
            if number := self._by_item.get(item[:length]):
                return number
        return 0

    def name(self, number: int) -> str:
        """ "" for numbers of nobody, also for such as this section does not know."""
        return self.names[number] if 0 <= number < len(self.names) else ""

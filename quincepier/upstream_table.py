"""The upstreams that the endpoint list names, by id and by kind. A table only: it chooses none of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, Settings, UpdateScope
from quincepier.records import Upstream


@dataclass(slots=True)
class TableChange:
    """What an update of the list changed.

    Attributes:
        removed: Upstreams that are not listed any more.
        listed_again: Upstreams that were listed before, and what was listed of each.
        has_moved: Whether upstreams came, went or have another size: hash orders are no longer right.
    """

    removed: list[Upstream] = field(default_factory=list)
    listed_again: list[tuple[Upstream, Endpoint]] = field(default_factory=list)
    has_moved: bool = False


class UpstreamTable:
    """Caches, parents and origins, as listed.

    Args:
        new_upstream: Makes the record of an endpoint that was not listed before; None: it is not kept.
    """

    def __init__(self, new_upstream: Callable[[Endpoint], Upstream | None]) -> None:
        self.new_upstream = new_upstream
        self.by_id: dict[int, Upstream] = {}
        self.caches: list[Upstream] = []
        self.parents: list[Upstream] = []
        self.origins: list[Upstream] = []
        self.by_kind: dict[int, list[Upstream]] = {}

    def apply(self, update: EndpointUpdate, settings: Settings) -> TableChange:
        """Take what the list says now."""
        change = TableChange()
        gone = {e.number for e in update.endpoints if e.state is EndpointState.GONE}
        if update.scope in (UpdateScope.FULL, UpdateScope.RESTORED):
            gone |= self.by_id.keys() - {e.number for e in update.endpoints}
        for cache in sorted(gone & self.by_id.keys()):
            change.removed.append(self.by_id.pop(cache))
        change.has_moved = bool(change.removed)
        for endpoint in update.endpoints:
            if endpoint.number not in gone:
                self._apply_endpoint(endpoint, change)
        if change.has_moved:
            self._group(settings)
        return change

    def _apply_endpoint(self, endpoint: Endpoint, change: TableChange) -> None:
        upstream = self.by_id.get(endpoint.number)
        if upstream is None:
            upstream = self.new_upstream(endpoint)
            if upstream is not None:
                self.by_id[endpoint.number] = upstream
                change.has_moved = True
            return
        change.listed_again.append((upstream, upstream.endpoint))
        change.has_moved = change.has_moved or endpoint.size != upstream.endpoint.size
        upstream.endpoint = endpoint

    def _group(self, settings: Settings) -> None:
        upstreams = self.by_id.values()
        self.by_kind = {}
        for upstream in upstreams:
            self.by_kind.setdefault(upstream.endpoint.kind, []).append(upstream)
        self.parents = [u for u in upstreams if u.endpoint.kind == settings.parent_kind]
        self.origins = [u for u in upstreams if u.endpoint.kind == settings.origin_kind]
        shared = (settings.parent_kind, settings.origin_kind)
        self.caches = [u for u in upstreams if u.endpoint.kind not in shared]

"""Table of the upstreams in the endpoint list, by id and by kind."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, Settings, UpdateScope
from quincepier.records import Upstream


@dataclass(slots=True)
class TableChange:
    """The changes that an endpoint update made.

    Attributes:
        removed: Upstreams that are no longer listed.
        updated: Upstreams that were already listed, each with its previous endpoint.
        has_ranking_changed: Whether upstreams were added or removed or changed their size, so that cached
            rankings are invalid.
    """

    removed: list[Upstream] = field(default_factory=list)
    updated: list[tuple[Upstream, Endpoint]] = field(default_factory=list)
    has_ranking_changed: bool = False


class UpstreamTable:
    """The listed caches, parents and origins.

    Args:
        create_upstream: Creates the record of a new endpoint; returns None if the endpoint is not needed.

    Attributes:
        by_id: All upstreams, by endpoint id.
        caches: The upstreams that are neither parents nor origins.
        parents: The parents.
        origins: The origins.
        by_kind: All upstreams, by kind.
    """

    def __init__(self, create_upstream: Callable[[Endpoint], Upstream | None]) -> None:
        self.create_upstream = create_upstream
        self.by_id: dict[int, Upstream] = {}
        self.caches: list[Upstream] = []
        self.parents: list[Upstream] = []
        self.origins: list[Upstream] = []
        self.by_kind: dict[int, list[Upstream]] = {}

    def apply(self, update: EndpointUpdate, settings: Settings) -> TableChange:
        """Apply an endpoint update, and return what it changed."""
        change = TableChange()
        gone = {e.number for e in update.endpoints if e.state is EndpointState.GONE}
        if update.scope in (UpdateScope.FULL, UpdateScope.RESTORED):
            gone |= self.by_id.keys() - {e.number for e in update.endpoints}
        for cache in sorted(gone & self.by_id.keys()):
            change.removed.append(self.by_id.pop(cache))
        change.has_ranking_changed = bool(change.removed)
        for endpoint in update.endpoints:
            if endpoint.number not in gone:
                self._apply_endpoint(endpoint, change)
        if change.has_ranking_changed:
            self._group(settings)
        return change

    def _apply_endpoint(self, endpoint: Endpoint, change: TableChange) -> None:
        upstream = self.by_id.get(endpoint.number)
        if upstream is None:
            upstream = self.create_upstream(endpoint)
            if upstream is not None:
                self.by_id[endpoint.number] = upstream
                change.has_ranking_changed = True
            return
        change.updated.append((upstream, upstream.endpoint))
        change.has_ranking_changed = change.has_ranking_changed or endpoint.size != upstream.endpoint.size
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

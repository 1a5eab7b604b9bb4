"""The living count in the decisions: into how many parts this front divides what all may be asked for."""

from __future__ import annotations

import math
from dataclasses import replace
from fractions import Fraction

from quincepier import clock
from quincepier.interface import Settings
from quincepier.membership import MemberState, ViewChanged
from quincepier.membership.quotas import LiveMemberCount, QuotaHolder
from quincepier.net.module import ModuleActor
from quincepier.net.peers.peer_network import PeerNetwork


def scale_settings(settings: Settings, parts: int) -> Settings:
    """The same settings for so many fronts; zones keep their proportions, rounded up to the smaller part."""
    told = max(settings.fronts, 1)
    by_zone = tuple(-(-n * parts // told) for n in settings.fronts_by_zone)
    return replace(settings, fronts=parts, fronts_by_zone=by_zone)


class QuotaAllocator:
    """Follows the view. `Router.s` is read at each decision, so a change counts from the next one on."""

    def __init__(self, module: ModuleActor, peers: PeerNetwork) -> None:
        self.module, self.peers, self.settings = module, peers, module.router.s
        self.claims = LiveMemberCount(peers.name, self.settings.fronts, peers.pace.forget)
        self.parts = max(self.settings.fronts, 1)
        # set where the fronts agree: then its lease says how much, and `look` is to be called as that ends
        self.holder: QuotaHolder | None = None
        peers.on_view(self.viewed)

    def viewed(self, viewed: ViewChanged) -> None:
        detector = self.peers.detector
        known = detector.claims.values() if detector is not None else ()
        left = [claim.name for claim in known if claim.standing is MemberState.LEFT]
        self.claims.viewed(clock.now(), viewed.members, left)
        self.look()

    def look(self) -> None:
        """Take the part that is ours now, before the next decision."""
        now = clock.now()
        part = self.holder.part(now) if self.holder else Fraction(1, self.claims.divisor(now))
        parts = math.ceil(1 / part)
        if parts != self.parts:
            self.parts = parts
            self.module.router.s = scale_settings(self.settings, parts)
            self.module.checks.count("changes of this front's part")

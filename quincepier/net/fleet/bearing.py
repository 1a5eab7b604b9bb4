"""What the pure parts say of a version at this front, by the sections that its file has.

`maintenance` says which machines leave, `tenancy` where requests are at home; both plan, where this front
leads, by what its own file wishes. What no section names is not imported.
"""

from __future__ import annotations

from typing import Protocol

from quincepier import clock
from quincepier.interface import Effect, Home, RequestCame
from quincepier.net.fleet.chair import Planner
from quincepier.net.module import ModuleActor
from quincepier.operator import OperatorFile
from quincepier.rules import RuleVersion


class HomesOf(Protocol):
    """As `tenancy.Homes`."""

    def __call__(self, e: RequestCame) -> Home | None: ...

    def renew(self) -> None: ...

    def decide(self, tenant: int, key: int, once: bool, repeat: bool) -> tuple[str, bool]: ...


class Rules:
    def __init__(self, module: ModuleActor, file: OperatorFile) -> None:
        self.module, self.name = module, module.config.name
        self.once_of = [c.effect is not Effect.SAFE for c in module.config.settings.classes]
        self.notice = 60 * clock.SECOND
        self.plans: list[Planner] = []
        self.take(file)

    def take(self, file: OperatorFile) -> None:
        """What the file wishes now."""
        self.plans = []

    def planners(self) -> list[Planner]:
        return self.plans

    def leaving(self, version: RuleVersion, cautious: bool) -> frozenset[str]:
        machines = [o for o in version.orders if o.kind != "front"]
        return frozenset(o.target for o in machines if (o.open if cautious else o.aside))

    def homes(self, version: RuleVersion, cautious: bool, unsure: bool) -> HomesOf | None:
        return None

    def tenant_of(self, item: str) -> tuple[int, str]:
        return 0, ""

    def once(self, cls: int) -> bool:
        return self.once_of[cls]

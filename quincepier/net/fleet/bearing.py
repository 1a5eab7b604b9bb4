"""What the pure parts say of a version at this front, by the sections that its file has.

`maintenance` says which machines leave, `tenancy` where requests are at home; both plan, where this front
leads, by what its own file wishes. What no section names is not imported.
"""

from __future__ import annotations

from typing import Protocol

from loguru import logger

from quincepier import clock
from quincepier.interface import Effect, Home, RequestCame
from quincepier.maintenance import MaintenanceSection, leaving, named, plan
from quincepier.net.fleet.chair import Planner
from quincepier.net.module import ModuleActor
from quincepier.operator import OperatorFile
from quincepier.rules import Change, RuleVersion, Seen


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
        self.named = frozenset[str]()
        self.waits: tuple[str, ...] = ()
        self.take(file)

    def take(self, file: OperatorFile) -> None:
        """What the file wishes now."""
        self.plans = []
        wished = MaintenanceSection()
        if file.named("maintenance") is not None:
            wished = file.get(MaintenanceSection) or wished
        self.named, self.waits = named(wished), ()
        # an order that nobody wishes any more is ended by the same plan: there is one without a section
        self.plans.append(lambda version, seen: self._orders(wished, version, seen))

    def _orders(self, wished: MaintenanceSection, version: RuleVersion, seen: Seen) -> Change | None:
        found = plan(version, wished, seen)
        if found.tells != self.waits:
            self.waits = found.tells
            detail = "; ".join(found.tells)
            logger.bind(event="orders wait", detail=detail).info("orders wait: {}", detail or "none")
        return found.change

    def planners(self) -> list[Planner]:
        return self.plans

    def leaving(self, version: RuleVersion, cautious: bool) -> frozenset[str]:
        return leaving(version, cautious, self.name, self.named)

    def homes(self, version: RuleVersion, cautious: bool, unsure: bool) -> HomesOf | None:
        return None

    def tenant_of(self, item: str) -> tuple[int, str]:
        return 0, ""

    def once(self, cls: int) -> bool:
        return self.once_of[cls]

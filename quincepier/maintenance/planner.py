"""The steps of orders: one pure function from version, wishes and what is seen to the next change, or none.

The rules, each in force over every leader, since all that they rest on is in the version or in `seen`:

1. An order goes a step further only when its step is in force: no front with a lease is two steps behind.
2. It is told to every front as waiting before it drains, those without a lease too (`seen.told`).
3. Never more are out than allowed; those that wait, warm or broke by themselves count (`room.py`).
4. A parent and its caches are never out together; of voters one at a time, the leader last.
5. None is called empty while a front may send to it or has something open there: its drain is in force,
   every report is of that number or a later one and shows nothing open, and who gave none has lapsed.
6. The next begins when service is as before, and the last is warm where one is allowed.
7. Below the floor of service what is not empty yet is used again, and its wish begins nothing more; what is
   empty or later goes on, since work may be under way.
8. Out and back are facts of the list: off it, not ready or started anew, then ready again after a new
   start. A list that was read anew is no start; where work needs none, operators say `finished`.
9. Without reports, or before a new leader's wait is over, nothing advances.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from quincepier.maintenance.candidates import ranked_candidates, targets
from quincepier.maintenance.disruption_budget import DisruptionBudget, is_recently_started
from quincepier.maintenance.section import MaintenanceRequest, MaintenanceSection
from quincepier.maintenance.service_level import ServiceLevel, service_level
from quincepier.rules.reports import Observations
from quincepier.rules.version import (
    MAX_MAINTENANCE_TASKS,
    DisruptionLimit,
    MaintenanceStep,
    MaintenanceTask,
    RuleVersion,
    VersionChange,
)

TELLS_MOST = 32


@dataclass(slots=True, frozen=True)
class Plan:
    change: VersionChange | None
    tells: tuple[str, ...]  # what waits for what, for the log; told when it changes


def advance(version: RuleVersion, wishes: MaintenanceSection, seen: Observations) -> VersionChange | None:
    """The next change of the orders. The same input gives the same change; it is safe to lose it."""
    return plan(version, wishes, seen).change


def plan(version: RuleVersion, wishes: MaintenanceSection, seen: Observations) -> Plan:
    if not seen.machine_by_host or not seen.report_by_front or not seen.active_number:
        if not wishes.requests and not any(order.is_active for order in version.maintenance_tasks):
            return Plan(None, ())
        lacks = "the list of machines" if not seen.machine_by_host else "reports of fronts that hold a lease"
        return Plan(None, (f"nothing advances without {lacks}",))
    return _Turn(version, wishes, seen).plan()


class _Turn:
    def __init__(self, version: RuleVersion, wishes: MaintenanceSection, seen: Observations) -> None:
        self.version, self.wishes, self.seen = version, wishes, seen
        self.orders = list(version.maintenance_tasks)
        self.room = DisruptionBudget(version, self.orders, wishes.unavailable_limits, seen)
        self.service: ServiceLevel = service_level(wishes, seen)
        self.told = seen.active_number if seen.acknowledged_number is None else seen.acknowledged_number
        self.did, self.tells = list[str](), list[str]()

    def plan(self) -> Plan:
        for at in range(len(self.orders)):
            if self.orders[at].is_active:
                self.step(at, self.orders[at])
        for wish in self.wishes.requests:
            self.announce(wish)
        allowances = tuple(
            DisruptionLimit(kind, most.max_per_zone, most.max_total)  # type: ignore[arg-type]
            for kind in ("cache", "parent", "front")
            if (most := self.wishes.unavailable_limits.for_kind(kind))
        )
        changed = tuple(self.orders) != self.version.maintenance_tasks
        if not changed:
            return Plan(None, tuple(self.tells[:TELLS_MOST]))
        orders = self.orders
        if len(orders) > MAX_MAINTENANCE_TASKS // 2:  # those of wishes that stand in the file no more
            orders = [o for o in orders if o.is_active or self.wishes.find_request(o.request_id) is not None]
        new = allowances if allowances != self.version.disruption_limits else None
        change = VersionChange(
            "; ".join(self.did)[:2000], maintenance_tasks=tuple(orders), disruption_limits=new
        )
        return Plan(change, tuple(self.tells[:TELLS_MOST]))

    def to(self, at: int, step: MaintenanceStep, why: str) -> None:
        order = self.orders[at]
        self.orders[at] = msgspec.structs.replace(order, step=step, reason=why[:200])
        self.did.append(f"{order.target} {step.name.lower()}: {why}")

    def wait(self, order: MaintenanceTask, why: str) -> None:
        self.tells.append(f"{order.target} stays {order.step.name.lower()}: {why}")

    def step(self, at: int, order: MaintenanceTask) -> None:
        wish, seen = self.wishes.find_request(order.request_id), self.seen
        if order.step in (MaintenanceStep.PENDING, MaintenanceStep.DRAINING):
            # taking back is safe at any time, and needs nothing of others
            if wish is None or wish.stop:
                why = "operators stopped it" if wish else "its wish is not in the file of who leads"
                return self.to(at, MaintenanceStep.CANCELLED, why)
            if self.service.fallen:
                return self.to(at, MaintenanceStep.CANCELLED, self.service.fallen)
        if seen.active_number < order.since_version:
            return self.wait(order, f"number {order.since_version} is not in force everywhere")
        if order.step is MaintenanceStep.PENDING:
            self.drain(at, order, wish)
        elif order.step is MaintenanceStep.DRAINING:
            self.empty(at, order, wish)
        elif order.kind == "front":
            self.front(at, order, wish)
        else:
            self.machine(at, order, wish)

    def drain(self, at: int, order: MaintenanceTask, wish: MaintenanceRequest | None) -> None:
        why = self.unready() or self.room.hindrance(order.target, order.kind, order.zone, waiting=False)
        if wish is not None and wish.pause:
            why = "paused"
        elif self.told < order.since_version:
            why = "a front that fell silent was not told of it"
        elif order.kind != "front" and order.target not in self.seen.machine_by_host:
            why = "it is not listed"
        if why:
            return self.wait(order, why)
        self.to(at, MaintenanceStep.DRAINING, order.reason)

    def empty(self, at: int, order: MaintenanceTask, wish: MaintenanceRequest | None) -> None:
        seen = self.seen
        if wish is not None and wish.pause:
            return self.wait(order, "paused")
        if not seen.unleased_fronts_idle:
            return self.wait(order, "a front without a lease may have something open")
        if over := self.room.over(order.kind, order.zone):
            return self.wait(order, over)
        for name, report in sorted(seen.report_by_front.items()):
            if report.version_number < order.since_version:
                return self.wait(order, f"{name} reported by number {report.version_number}")
            if order.kind != "front" and any(host == order.target and n for host, n in report.open_attempts):
                return self.wait(order, f"{name} has something open there")
            if order.kind == "front" and report.front == order.target:
                if name != order.target:
                    return self.wait(order, "an earlier start of it may have something open")
                if any(n for _, n in report.open_attempts) or any(
                    n for _, _, n in report.open_unsafe_requests
                ):
                    return self.wait(order, "it has something open")
        machine = seen.machine_by_host.get(order.target)
        if machine is not None and machine.is_ready and is_recently_started(machine):
            return self.wait(order, "it started by itself; another start could not be told from this one")
        self.to(at, MaintenanceStep.DRAINED, "nothing is open there and no front may send to it")

    def machine(self, at: int, order: MaintenanceTask, wish: MaintenanceRequest | None) -> None:
        """From empty on, by what the list says."""
        there = self.seen.machine_by_host.get(order.target)
        ready = there is not None and there.is_ready
        anew = there is not None and ready and is_recently_started(there)
        finished = wish is not None and order.target in wish.finished_targets
        new = wish.replacement_by_host.get(order.target, "") if wish is not None else ""
        if new and not ready and order.step < MaintenanceStep.WARMING:
            return self.replace(at, order, new)
        match order.step:
            case MaintenanceStep.DRAINED if not ready or anew:
                gone = "off the list" if there is None else "started anew" if ready else "not ready"
                self.to(at, MaintenanceStep.IN_MAINTENANCE, gone)
            case MaintenanceStep.DRAINED if finished:
                self.to(at, MaintenanceStep.RESTORED, "operators say that work is over")
            case MaintenanceStep.DRAINED:
                self.wait(order, "work may begin")
            case MaintenanceStep.IN_MAINTENANCE if ready and (anew or finished):
                why = "ready after a new start" if anew else "operators say that work is over"
                self.to(at, MaintenanceStep.RESTORED, why)
            case MaintenanceStep.IN_MAINTENANCE if ready:
                self.wait(order, "listed again without a new start; say finished where work needs none")
            case MaintenanceStep.IN_MAINTENANCE:
                self.wait(order, "away; say replaced where it came back under another id")
            case MaintenanceStep.RESTORED if not ready:
                self.to(at, MaintenanceStep.IN_MAINTENANCE, "away again")
            case MaintenanceStep.RESTORED:
                self.to(at, MaintenanceStep.WARMING, "used within its cold budget")
            case MaintenanceStep.WARMING if (
                there is not None and ready and there.uptime_ms >= there.warm_up_ms
            ):
                self.to(at, MaintenanceStep.COMPLETED, "warm")
            case _:
                self.wait(order, "not warm yet" if ready else "broke while it warmed")

    def replace(self, at: int, order: MaintenanceTask, new: str) -> None:
        there = self.seen.machine_by_host.get(new)
        if there is None or not there.is_ready or (there.kind, there.zone) != (order.kind, order.zone):
            return self.wait(order, f"{new} is not ready, or of another kind or zone")
        self.to(at, MaintenanceStep.COMPLETED, f"came back as {new}")
        if self.version.task_for(new) is None:
            why = f"in place of {order.target}"
            self.orders.append(
                MaintenanceTask(
                    order.request_id, new, order.kind, order.zone, MaintenanceStep.WARMING, 0, why
                )
            )
            self.did.append(f"{new} warming: {why}")

    def front(self, at: int, order: MaintenanceTask, wish: MaintenanceRequest | None) -> None:
        """From empty on: a front is away while it holds no lease; another start shows as a second line."""
        reports, name = self.seen.report_by_front, order.target
        there = name in reports
        anew = any(report.front == name and line != name for line, report in reports.items())
        finished = wish is not None and name in wish.finished_targets
        if order.step is MaintenanceStep.DRAINED and (not there or anew):
            self.to(at, MaintenanceStep.IN_MAINTENANCE, "started anew" if there else "it holds no lease")
        elif order.step is MaintenanceStep.DRAINED and not finished:
            self.wait(order, "work may begin")
        elif order.step in (MaintenanceStep.DRAINED, MaintenanceStep.IN_MAINTENANCE) and there:
            self.to(at, MaintenanceStep.RESTORED, "it reports")
        elif order.step is MaintenanceStep.RESTORED and there:
            self.to(at, MaintenanceStep.WARMING, "it serves")
        elif order.step is MaintenanceStep.WARMING and there and not reports[name].is_cautious:
            self.to(at, MaintenanceStep.COMPLETED, "it is sure of its version")
        else:
            self.wait(order, "it does not report")

    def unready(self) -> str:
        """Why nothing may begin, whichever it is."""
        if not self.seen.unleased_fronts_idle:
            return "a front without a lease may have something open"
        return self.service.lower

    def announce(self, wish: MaintenanceRequest) -> None:
        """The next of a wish, as many as may be out: only those are named, so that a front which lost touch
        keeps from these few and not from all that is ever to be worked on.
        """
        mine = [o for o in self.orders if o.request_id == wish.id]
        stopped = next((o for o in mine if o.step is MaintenanceStep.CANCELLED), None)
        meant = targets(wish, self.seen)
        done = {o.target for o in mine} | set(wish.replacement_by_host.values())
        left = [target for target in meant if target not in done]
        if not left:
            return
        why = "stopped" if wish.stop else "paused" if wish.pause else self.unready()
        if stopped is not None:
            why = f"{stopped.target} was stopped ({stopped.reason}); wish it anew under another id"
        if len(self.orders) >= MAX_MAINTENANCE_TASKS:
            why = "too many orders are kept; take old wishes out of the file"
        if why:
            self.tells.append(f"wish {wish.id} begins nothing: {why}")
            return
        for target in left:
            if not meant[target][0]:
                self.tells.append(f"wish {wish.id} waits for {target}: it is not known")
        for choice in ranked_candidates(wish, self.room):
            if choice.target in done or len(self.orders) >= MAX_MAINTENANCE_TASKS:
                continue
            why = self.barred(choice.target, left) or self.room.hindrance(
                choice.target, choice.kind, choice.zone, waiting=True
            )
            if why:
                self.tells.append(f"wish {wish.id} waits for {choice.target}: {why}")
                continue
            order = MaintenanceTask(
                wish.id,
                choice.target,
                choice.kind,  # type: ignore[arg-type]
                choice.zone,
                MaintenanceStep.PENDING,
                0,
                choice.why,
            )
            self.orders.append(order)
            self.did.append(f"{choice.target} waiting: {choice.why}")

    def barred(self, target: str, left: list[str]) -> str:
        other = next((o for o in self.orders if o.target == target and o.is_active), None)
        if other is not None:
            return f"it has an order of wish {other.request_id}"
        machine = self.seen.machine_by_host.get(target)
        if machine is not None and machine.is_ready and is_recently_started(machine):
            return "it started a moment ago"
        if target == self.seen.leader and (len(left) > 1 or any(o.is_active for o in self.orders)):
            return "it leads, and goes last"
        return ""

"""Caches, parents, the origin and the change log as a process: the model of `machines.py` behind the wire.

Written from the protocol page. Who asks whom is told by the address a connection comes from (`places.py`).
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from quincepier.interface import AttemptOutcome, CacheStatus, EndpointState
from quincepier.lab.experiment import EDGE, MS, SECOND, Experiment, Fault, FaultKind, load
from quincepier.lab.fleet import child
from quincepier.lab.fleet.places import pair_address, pair_of
from quincepier.lab.machines import ON_MACHINES, Machine, Machines

WORDS = {
    AttemptOutcome.OK: "data",
    AttemptOutcome.MISS: "absent",
    AttemptOutcome.OVERLOADED: "full",
    AttemptOutcome.ERROR: "failed",
}
HOWS = {
    CacheStatus.FILLED: "pulled",
    CacheStatus.FROM_ORIGIN: "pulled_far",
    CacheStatus.COLLAPSED: "rode",
    CacheStatus.STALE: "expired",
    CacheStatus.SOURCE_BROKEN: "cut_off",
}
KINDS = ("std", "parent", "origin")
LETTERS = "spo"
LINE_MOST = 4096
TAG = "4be0c1927d55a6f3"
POLL_MOST = 5000  # ms


class Plan(msgspec.Struct, frozen=True):
    folder: str
    experiment: str
    seed: int
    wall: int  # ns: the Unix clock less the monotonic one


class Order:
    """A `serve` command; see machines.Order. `serial` is told in the answer's body."""

    __slots__ = (
        "cls",
        "door",
        "held_only",
        "id",
        "join",
        "key",
        "machine",
        "max_copy_age",
        "number",
        "serial",
        "source",
    )

    def __init__(
        self, door: Door, id: str, cls: int, key: tuple[int, int], machine: int, serial: int
    ) -> None:
        self.door, self.id, self.cls, self.key, self.machine = door, id, cls, key, machine
        self.number, self.serial = int(id, 16), serial
        self.source: int | None = None
        self.max_copy_age, self.join, self.held_only = 0, False, False


class Door(asyncio.Protocol):
    """One connection of a front to a machine."""

    def __init__(self, hall: Hall) -> None:
        self.hall, self.buffer, self.front = hall, b"", 0
        self.machine: Machine | None = None
        self.transport: asyncio.Transport | None = None
        self.open: dict[int, Order] = {}  # by serial: an id that comes twice is served twice

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.transport = transport
        self.front, index = pair_of(transport.get_extra_info("peername")[0])
        self.machine = self.hall.by_index.get(index)
        self.hall.counted("dials")
        self.hall.notes.note("dial", self.front, index)
        if self.machine is None or self.machine.state == "dead":
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        for order in self.open.values():
            self._over(order)
            self.hall.machines.cancel(order)
        self.open.clear()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (stop := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:stop].decode("ascii").split(" ")
            if words[0] == "serve":
                size = stop + 2 + int(words[3]) + 2
                if len(self.buffer) < size:
                    return
                self.buffer = self.buffer[size:]
                self._serve(words[1], dict(item.split("=", 1) for item in words[2].split(",")))
                continue
            self.buffer = self.buffer[stop + 2 :]
            if words[0] == "cancel":
                for order in [o for o in self.open.values() if o.id == words[1]]:
                    del self.open[order.serial]
                    self._over(order)
                    self.hall.machines.cancel(order)
            elif self.transport is not None and self.machine is not None and self.machine.state == "up":
                self.transport.write(f"{words[1]} well - 0\r\n\r\n".encode())
        if len(self.buffer) > LINE_MOST and self.transport is not None:
            self.transport.abort()

    def _serve(self, id: str, fields: dict[str, str]) -> None:
        hall, machine = self.hall, self.machine
        if machine is None:
            return
        key = int(fields["key"], 16), int(fields["part"])
        order = Order(self, id, hall.classes[fields["class"]], key, machine.number, hall.serial())
        opts = fields.get("opts", "").split("+")
        order.join, order.held_only = "join" in opts, "held" in opts
        order.max_copy_age = int(fields.get("fresh", "0")) * MS
        source = hall.by_host.get(fields.get("via", ""))
        order.source = source.number if source else None
        via = source.index if source else 0
        wait = int(fields["wait"])
        hall.notes.note("sent", order.number, self.front, machine.index, via, order.serial, wait)
        self.open[order.serial] = order
        hall.schedule(hall.way(machine), hall.reach, order)

    def _over(self, order: Order) -> None:
        """It does not run here any more."""
        self.hall.notes.note("closed", order.number, order.serial)

    def answer(
        self, order: Order, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        if self.transport is None or self.open.pop(order.serial, None) is None:
            return
        self._over(order)
        hall = self.hall
        if ending not in WORDS:
            self.transport.abort()
            return
        fields, body = f"how={HOWS.get(note, 'local')},lag={waited // MS}", b""
        if ending is AttemptOutcome.OK:
            at = minted if minted is not None else hall.now
            body = b"%x %d %d %d" % (order.key[0], order.key[1], order.serial, at)
            fields = f"tag={TAG},minted={(at + hall.plan.wall) // MS}," + fields
        line = f"{order.id} {WORDS[ending]} {fields} {len(body)}\r\n".encode()
        self.transport.write(line + body + b"\r\n")


class Hall:
    """The host of the machines: the loop's clock, the wire, the list and its log."""

    def __init__(self, plan: Plan, experiment: Experiment, notes: child.Notes) -> None:
        self.plan, self.experiment, self.notes = plan, experiment, notes
        self.loop = asyncio.get_running_loop()
        self.machines = Machines(self, experiment, random.Random(f"{plan.seed} machines"))
        self.by_index = {m.index: m for m in self.machines.machine_by_number.values()}
        self.by_host = {host_name(m): m for m in self.machines.machine_by_number.values()}
        self.classes = {c.name: n for n, c in enumerate(experiment.classes)}
        self.serials, self.lag, self.colds, self.port = 0, 0, 0, 0
        self.counts: Counter[str] = Counter()
        self.armed: list[tuple[str, int, int]] = []  # (what, at which count, the fault)
        self.log = ChangeLog(self)

    @property
    def now(self) -> int:
        return time.monotonic_ns()

    def schedule(self, wait: int, what: Callable[..., None], *about: Any) -> None:
        self.loop.call_later(wait / SECOND, what, *about)

    def serial(self) -> int:
        self.serials += 1
        return self.serials

    def way(self, machine: Machine) -> int:
        fleet = self.experiment.fleet
        return int((fleet.near_ms if machine.kind == EDGE else fleet.far_ms) * MS)

    def reach(self, order: Order) -> None:
        if order.serial in order.door.open:
            self.machines.on_attempt(order)

    def reply(
        self, order: Order, ending: AttemptOutcome, note: CacheStatus, waited: int, minted: int | None
    ) -> None:
        machine = self.machines.machine_by_number[order.machine]
        self.schedule(self.way(machine), order.door.answer, order, ending, note, waited, minted)

    def counted(self, what: str) -> None:
        self.counts[what] += 1
        for one in [a for a in self.armed if a[0] == what and a[1] <= self.counts[what]]:
            self.armed.remove(one)
            child.tell(strike=one[2])

    def on_endpoints_changed(self, machines: Sequence[Machine]) -> None:
        delay = self.experiment.fleet.told_ms * MS * self.machines.random.uniform(0.5, 1) + self.lag
        states = [(m.index, m.endpoint_state is EndpointState.READY) for m in machines]
        hosts = [self.host(m) for m in machines]
        for m in machines:
            if m.index not in self.by_index:
                self.by_index[m.index] = self.by_host[host_name(m)] = m
                child.tell(machines=m.index)
            if m.endpoint_state is EndpointState.GONE:
                child.tell(live="caches", other=m.index, how="refused")
            elif m.state == "up":
                child.tell(live="caches", other=m.index, how="open")
        self.schedule(int(delay), self.log.add, "listed", states, {"fleet": {"whole": False, "hosts": hosts}})

    def host(self, m: Machine) -> dict[str, Any]:
        states = {
            EndpointState.READY: "SERVING",
            EndpointState.DRAINING: "DRAINING",
            EndpointState.GONE: "DELETED",
        }
        return {
            "host": host_name(m), "dial": str(m.index), "site": f"z{m.zone}" if m.kind == EDGE else "hub",
            "class": KINDS[m.kind], "block": m.zone, "health": states[m.endpoint_state],
            "share": m.send_capacity, "born_ms": (m.started_at + self.plan.wall) // MS if m.started_at else 0,
        }  # fmt: skip

    def on_effect_run(self, request: int, machine: int) -> None:
        self.notes.note("ran", request, self.machines.machine_by_number[machine].index)

    def on_cold_request(self, machine: int, work: float) -> None:
        self.colds += 1

    def on_cold_machine_overloaded(self, machine: int, request: int) -> None:
        index = self.machines.machine_by_number[machine].index
        self.notes.note("fell", index, request)
        child.tell(live="caches", other=index, how="refused")

    def on_fetch_started(self, machine: int, source: int) -> None:
        self.counted("fills")
        at = self.machines.machine_by_number.get(source)
        self.notes.note("fill", at.kind if at else -1, at.index if at else 0)

    def on_origin_fetch(self, by: int) -> None:
        self.notes.note("fetch")

    def strike(self, fault: Fault) -> None:
        lasts = int(fault.lasts * SECOND)
        if fault.kind in ON_MACHINES:
            before = {m.number: m.state for m in self.machines.machine_by_number.values()}
            self.machines.inject_fault(fault)
            for m in self.machines.machine_by_number.values():
                if m.state != before[m.number]:
                    how = "refused" if m.state == "dead" else "deaf"
                    child.tell(live="caches", other=m.index, how=how)
        elif fault.kind is FaultKind.LAG:
            self.lag = int(fault.size * SECOND)
            self.schedule(lasts, lambda: setattr(self, "lag", 0))
        elif fault.kind is FaultKind.PURGE:
            delay, at = int(self.experiment.fleet.told_ms * MS) + self.lag, self.now
            for group in self.machines.purge(fault.part):
                purge = {"bucket": group, "time": (at + self.plan.wall) // MS}
                self.schedule(delay, self.log.add, "purged", [group, at], {"invalidate": purge})

    def work(self, machine: Machine, lasts: int) -> None:
        """That one machine is worked on: down for a while, then started anew, empty."""
        self.machines.stop_machine(machine, "dead")
        child.tell(live="caches", other=machine.index, how="refused")
        self.schedule(lasts, self.machines.restart_machine, machine)

    def hear(self, words: dict[str, Any]) -> None:
        if "strike" in words:
            self.strike(msgspec.convert(words["strike"], Fault))
        elif "work" in words:
            self.work(self.by_index[words["work"]], int(words["lasts"] * SECOND))
        elif "arm" in words:
            self.armed.append((words["what"], self.counts[words["what"]] + words["nth"], words["arm"]))


class ChangeLog:
    """Numbered events, long polls. The rig hears each event too, for fronts that start later."""

    def __init__(self, hall: Hall) -> None:
        self.hall = hall
        first = {
            "fleet": {
                "seq": 0,
                "whole": True,
                "hosts": [hall.host(m) for m in hall.machines.machine_by_number.values()],
            }
        }
        self.events: list[dict[str, Any]] = [{"seq": 1} | first]
        self.more = asyncio.Event()

    def add(self, what: str, about: list[Any], event: dict[str, Any]) -> None:
        seq = len(self.events) + 1
        if "fleet" in event:
            event = {"fleet": {"seq": seq} | event["fleet"]}
        self.events.append({"seq": seq} | event)
        self.hall.notes.note("event", seq, what, about)
        child.tell(event=self.events[-1])
        more, self.more = self.more, asyncio.Event()
        more.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            front, _ = pair_of(writer.get_extra_info("peername")[0])
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                asked = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since = int(asked["since"][0])
                self.hall.counted("calls")
                self.hall.notes.note("call", front, since)
                if len(self.events) <= since:
                    try:
                        async with asyncio.timeout(min(int(asked["timeout"][0]), POLL_MOST) / 1000):
                            await self.more.wait()
                    except TimeoutError:
                        pass
                later = [
                    placed(event, front, self.hall.port) for event in self.events if event["seq"] > since
                ]
                body = msgspec.json.encode({"seq": len(self.events), "results": later})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError, KeyError, ValueError):
            pass
        finally:
            writer.close()


def host_name(m: Machine) -> str:
    return f"{LETTERS[m.kind]}-{m.index}"


def placed(event: dict[str, Any], front: int, port: int) -> dict[str, Any]:
    """An event with the addresses at which that front finds the machines, on the relay's port."""
    if "fleet" not in event:
        return event
    hosts = [
        host | {"dial": f"{pair_address(front, int(host['dial']))}:{port}"}
        for host in event["fleet"]["hosts"]
    ]
    return event | {"fleet": event["fleet"] | {"hosts": hosts}}


async def main(path: str) -> None:
    plan = msgspec.json.decode(Path(path).read_bytes(), type=Plan)
    notes = child.Notes(Path(plan.folder) / "notes-standins")
    hall = Hall(plan, load(plan.experiment), notes)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Door(hall), "127.0.0.1", 0, backlog=4096)
    log = await asyncio.start_server(hall.log.serve, "127.0.0.1", 0, backlog=1024)

    def hear(words: dict[str, Any]) -> None:
        if "ports" in words:
            hall.port = words["ports"]["caches"]
        else:
            hall.hear(words)

    child.tell(ready=True, machines=server.sockets[0].getsockname()[1], log=log.sockets[0].getsockname()[1],
               events=hall.log.events)  # fmt: skip
    if await child.obey(hear, notes):
        strains = [m.cold.strain for m in hall.machines.machine_by_number.values()]
        notes.note("machines", hall.colds, max(strains))
        notes.flush()


if __name__ == "__main__":
    import uvloop

    uvloop.run(main(sys.argv[1]))

"""Stand-in caches, parents, origin and change log in one process: the model of `machines.py` on the wire.

Written from the protocol page. The source address of a connection identifies the front and the machine
(`loopback_addresses.py`).
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
from quincepier.lab.fleet.loopback_addresses import pair_address, pair_of
from quincepier.lab.machines import ON_MACHINES, Machine, Machines

WORD_BY_OUTCOME = {
    AttemptOutcome.OK: "data",
    AttemptOutcome.MISS: "absent",
    AttemptOutcome.OVERLOADED: "full",
    AttemptOutcome.ERROR: "failed",
}
WORD_BY_CACHE_STATUS = {
    CacheStatus.FILLED: "pulled",
    CacheStatus.FROM_ORIGIN: "pulled_far",
    CacheStatus.COLLAPSED: "rode",
    CacheStatus.STALE: "expired",
    CacheStatus.SOURCE_BROKEN: "cut_off",
}
CLASS_BY_KIND = ("std", "parent", "origin")
HOST_PREFIX_BY_KIND = "spo"
MAX_LINE_BYTES = 4096
OBJECT_TAG = "4be0c1927d55a6f3"
MAX_POLL_MS = 5000  # ms


class Plan(msgspec.Struct, frozen=True):
    """Settings of this process, written by the rig."""

    folder: str
    experiment: str
    seed: int
    wall: int  # ns: Unix time minus monotonic time


class Order:
    """A `serve` command; see machines.Order. The response body contains `serial`."""

    __slots__ = (
        "cls",
        "connection",
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
        self, connection: FrontConnection, id: str, cls: int, key: tuple[int, int], machine: int, serial: int
    ) -> None:
        self.connection, self.id, self.cls, self.key, self.machine = connection, id, cls, key, machine
        self.number, self.serial = int(id, 16), serial
        self.source: int | None = None
        self.max_copy_age, self.join, self.held_only = 0, False, False


class FrontConnection(asyncio.Protocol):
    """One connection of a front to a stand-in machine."""

    def __init__(self, host: StandInHost) -> None:
        self.host, self.buffer, self.front = host, b"", 0
        self.machine: Machine | None = None
        self.transport: asyncio.Transport | None = None
        self.open: dict[int, Order] = {}  # by serial, since a repeated id is served again

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.transport = transport
        self.front, index = pair_of(transport.get_extra_info("peername")[0])
        self.machine = self.host.by_index.get(index)
        self.host.count_event("dials")
        self.host.notes.note("dial", self.front, index)
        if self.machine is None or self.machine.state == "dead":
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        for order in self.open.values():
            self._note_closed(order)
            self.host.machines.cancel(order)
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
                    self._note_closed(order)
                    self.host.machines.cancel(order)
            elif self.transport is not None and self.machine is not None and self.machine.state == "up":
                self.transport.write(f"{words[1]} well - 0\r\n\r\n".encode())
        if len(self.buffer) > MAX_LINE_BYTES and self.transport is not None:
            self.transport.abort()

    def _serve(self, id: str, fields: dict[str, str]) -> None:
        host, machine = self.host, self.machine
        if machine is None:
            return
        key = int(fields["key"], 16), int(fields["part"])
        order = Order(self, id, host.classes[fields["class"]], key, machine.number, host.next_serial())
        opts = fields.get("opts", "").split("+")
        order.join, order.held_only = "join" in opts, "held" in opts
        order.max_copy_age = int(fields.get("fresh", "0")) * MS
        source = host.by_host.get(fields.get("via", ""))
        order.source = source.number if source else None
        via = source.index if source else 0
        wait = int(fields["wait"])
        host.notes.note("sent", order.number, self.front, machine.index, via, order.serial, wait)
        self.open[order.serial] = order
        host.schedule(host.latency_to(machine), host.deliver, order)

    def _note_closed(self, order: Order) -> None:
        """Note that an attempt no longer runs here."""
        self.host.notes.note("closed", order.number, order.serial)

    def answer(
        self,
        order: Order,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        if self.transport is None or self.open.pop(order.serial, None) is None:
            return
        self._note_closed(order)
        host = self.host
        if outcome not in WORD_BY_OUTCOME:
            self.transport.abort()
            return
        fields, body = f"how={WORD_BY_CACHE_STATUS.get(cache_status, 'local')},lag={waited // MS}", b""
        if outcome is AttemptOutcome.OK:
            at = minted if minted is not None else host.now
            body = b"%x %d %d %d" % (order.key[0], order.key[1], order.serial, at)
            fields = f"tag={OBJECT_TAG},minted={(at + host.plan.wall) // MS}," + fields
        line = f"{order.id} {WORD_BY_OUTCOME[outcome]} {fields} {len(body)}\r\n".encode()
        self.transport.write(line + body + b"\r\n")


class StandInHost:
    """Runs the machine model on the event loop: clock, connections, endpoint list and change log."""

    def __init__(self, plan: Plan, experiment: Experiment, notes: child.Notes) -> None:
        self.plan, self.experiment, self.notes = plan, experiment, notes
        self.loop = asyncio.get_running_loop()
        self.machines = Machines(self, experiment, random.Random(f"{plan.seed} machines"))
        self.by_index = {m.index: m for m in self.machines.machine_by_number.values()}
        self.by_host = {host_name(m): m for m in self.machines.machine_by_number.values()}
        self.classes = {c.name: n for n, c in enumerate(experiment.classes)}
        self.last_serial, self.list_lag, self.cold_count, self.relay_port = 0, 0, 0, 0
        self.counts: Counter[str] = Counter()
        self.armed_faults: list[tuple[str, int, int]] = []  # (event name, count that triggers, fault number)
        self.log = ChangeLog(self)

    @property
    def now(self) -> int:
        return time.monotonic_ns()

    def schedule(self, wait: int, callback: Callable[..., None], *args: Any) -> None:
        self.loop.call_later(wait / SECOND, callback, *args)

    def next_serial(self) -> int:
        """Return a number that no attempt has had yet."""
        self.last_serial += 1
        return self.last_serial

    def latency_to(self, machine: Machine) -> int:
        """Return the one-way network latency to a machine in ns."""
        fleet = self.experiment.fleet
        return int((fleet.near_ms if machine.kind == EDGE else fleet.far_ms) * MS)

    def deliver(self, order: Order) -> None:
        """Pass a command to its machine unless it was cancelled meanwhile."""
        if order.serial in order.connection.open:
            self.machines.on_attempt(order)

    def reply(
        self,
        order: Order,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
        waited: int,
        minted: int | None,
    ) -> None:
        machine = self.machines.machine_by_number[order.machine]
        self.schedule(
            self.latency_to(machine), order.connection.answer, order, outcome, cache_status, waited, minted
        )

    def count_event(self, name: str) -> None:
        """Count an event, and trigger the faults that wait for this count."""
        self.counts[name] += 1
        for armed in [a for a in self.armed_faults if a[0] == name and a[1] <= self.counts[name]]:
            self.armed_faults.remove(armed)
            child.report_to_rig(strike=armed[2])

    def on_endpoints_changed(self, machines: Sequence[Machine]) -> None:
        """Publish the state of machines in the change log after its delay, and to the relay at once."""
        delay = self.experiment.fleet.told_ms * MS * self.machines.random.uniform(0.5, 1) + self.list_lag
        states = [(m.index, m.endpoint_state is EndpointState.READY) for m in machines]
        hosts = [self.endpoint_record(m) for m in machines]
        for m in machines:
            if m.index not in self.by_index:
                self.by_index[m.index] = self.by_host[host_name(m)] = m
                child.report_to_rig(machines=m.index)
            if m.endpoint_state is EndpointState.GONE:
                child.report_to_rig(live="caches", other=m.index, how="refused")
            elif m.state == "up":
                child.report_to_rig(live="caches", other=m.index, how="open")
        self.schedule(int(delay), self.log.add, "listed", states, {"fleet": {"whole": False, "hosts": hosts}})

    def endpoint_record(self, m: Machine) -> dict[str, Any]:
        states = {
            EndpointState.READY: "SERVING",
            EndpointState.DRAINING: "DRAINING",
            EndpointState.GONE: "DELETED",
        }
        return {
            "host": host_name(m), "dial": str(m.index), "site": f"z{m.zone}" if m.kind == EDGE else "hub",
            "class": CLASS_BY_KIND[m.kind], "block": m.zone, "health": states[m.endpoint_state],
            "share": m.send_capacity,
            "born_ms": (m.started_at + self.plan.wall) // MS if m.started_at else 0,
        }  # fmt: skip

    def on_effect_run(self, request: int, machine: int) -> None:
        self.notes.note("ran", request, self.machines.machine_by_number[machine].index)

    def on_cold_request(self, machine: int, work: float) -> None:
        self.cold_count += 1

    def on_cold_machine_overloaded(self, machine: int, request: int) -> None:
        index = self.machines.machine_by_number[machine].index
        self.notes.note("fell", index, request)
        child.report_to_rig(live="caches", other=index, how="refused")

    def on_fetch_started(self, machine: int, source: int) -> None:
        self.count_event("fills")
        at = self.machines.machine_by_number.get(source)
        self.notes.note("fill", at.kind if at else -1, at.index if at else 0)

    def on_origin_fetch(self, by: int) -> None:
        self.notes.note("fetch")

    def strike(self, fault: Fault) -> None:
        """Start a fault of the machines, the endpoint list or the change log."""
        lasts = int(fault.lasts * SECOND)
        if fault.kind in ON_MACHINES:
            before = {m.number: m.state for m in self.machines.machine_by_number.values()}
            self.machines.inject_fault(fault)
            for m in self.machines.machine_by_number.values():
                if m.state != before[m.number]:
                    how = "refused" if m.state == "dead" else "deaf"
                    child.report_to_rig(live="caches", other=m.index, how=how)
        elif fault.kind is FaultKind.LAG:
            self.list_lag = int(fault.size * SECOND)
            self.schedule(lasts, lambda: setattr(self, "list_lag", 0))
        elif fault.kind is FaultKind.PURGE:
            delay, at = int(self.experiment.fleet.told_ms * MS) + self.list_lag, self.now
            for group in self.machines.purge(fault.part):
                purge = {"bucket": group, "time": (at + self.plan.wall) // MS}
                self.schedule(delay, self.log.add, "purged", [group, at], {"invalidate": purge})

    def take_down_for_work(self, machine: Machine, lasts: int) -> None:
        """Take a machine down for maintenance work for `lasts` ns, then cold restart it."""
        self.machines.stop_machine(machine, "dead")
        child.report_to_rig(live="caches", other=machine.index, how="refused")
        self.schedule(lasts, self.machines.restart_machine, machine)

    def on_command(self, command: dict[str, Any]) -> None:
        if "strike" in command:
            self.strike(msgspec.convert(command["strike"], Fault))
        elif "work" in command:
            self.take_down_for_work(self.by_index[command["work"]], int(command["lasts"] * SECOND))
        elif "arm" in command:
            self.armed_faults.append(
                (command["what"], self.counts[command["what"]] + command["nth"], command["arm"])
            )


class ChangeLog:
    """Numbered events served by long polls; the rig receives each event too, for fronts that start later."""

    def __init__(self, host: StandInHost) -> None:
        self.host = host
        first = {
            "fleet": {
                "seq": 0,
                "whole": True,
                "hosts": [host.endpoint_record(m) for m in host.machines.machine_by_number.values()],
            }
        }
        self.events: list[dict[str, Any]] = [{"seq": 1} | first]
        self.changed = asyncio.Event()

    def add(self, kind: str, facts: list[Any], event: dict[str, Any]) -> None:
        seq = len(self.events) + 1
        if "fleet" in event:
            event = {"fleet": {"seq": seq} | event["fleet"]}
        self.events.append({"seq": seq} | event)
        self.host.notes.note("event", seq, kind, facts)
        child.report_to_rig(event=self.events[-1])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            front, _ = pair_of(writer.get_extra_info("peername")[0])
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = parse_qs(urlsplit(line.decode().split(" ")[1]).query)
                since = int(query["since"][0])
                self.host.count_event("calls")
                self.host.notes.note("call", front, since)
                if len(self.events) <= since:
                    try:
                        async with asyncio.timeout(min(int(query["timeout"][0]), MAX_POLL_MS) / 1000):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
                later = [
                    with_front_addresses(event, front, self.host.relay_port)
                    for event in self.events
                    if event["seq"] > since
                ]
                body = msgspec.json.encode({"seq": len(self.events), "results": later})
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError, KeyError, ValueError):
            pass
        finally:
            writer.close()


def host_name(m: Machine) -> str:
    return f"{HOST_PREFIX_BY_KIND[m.kind]}-{m.index}"


def with_front_addresses(event: dict[str, Any], front: int, port: int) -> dict[str, Any]:
    """Return an event with the addresses at which a front reaches the machines, on the relay's port."""
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
    host = StandInHost(plan, load(plan.experiment), notes)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FrontConnection(host), "127.0.0.1", 0, backlog=4096)
    log = await asyncio.start_server(host.log.serve, "127.0.0.1", 0, backlog=1024)

    def on_command(command: dict[str, Any]) -> None:
        if "ports" in command:
            host.relay_port = command["ports"]["caches"]
        else:
            host.on_command(command)

    child.report_to_rig(
        ready=True,
        machines=server.sockets[0].getsockname()[1],
        log=log.sockets[0].getsockname()[1],
        events=host.log.events,
    )
    if await child.run_commands(on_command, notes):
        strains = [m.cold.strain for m in host.machines.machine_by_number.values()]
        notes.note("machines", host.cold_count, max(strains))
        notes.flush()


if __name__ == "__main__":
    import uvloop

    uvloop.run(main(sys.argv[1]))

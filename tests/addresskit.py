"""Harness for tests of machines with several addresses.

The router's actor, the caches' actors and the dialer run in this process, on uvloop as in production, against
scripted stand-in machines.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from quincepier import clock
from quincepier.addresses import parse
from quincepier.addresses.section import AddressesSection, Aside, Dials, Stagger
from quincepier.checks import Checks
from quincepier.config import FrontConfig, read_front
from quincepier.lab import scripted_cache
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.cache import CacheActor
from quincepier.net.dialer import Dialer, Route
from quincepier.net.messages import ChangeLogEvent, ClientDisconnected, RequestArrived
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import Descriptors
from quincepier.wire.changelog import InvalidRecord, read_changes
from tests.frontkit import Inbox, host, open_request, raw_config
from tests.loopback import SHARED_PORTS_PER_BLOCK, allocate_port
from tests.standins import until

BUDGET = MemoryBudget(max_buffers=4000, max_body_bytes=1 << 24, max_open_requests=8192)
KINDS = {"s": "std", "p": "parent", "o": "origin"}
SAFE, KEYED, UNSAFE = 1, 0, 2  # request classes, by index


class Machine(scripted_cache.Machine):
    """A scripted stand-in whose ports are reserved for it, since its listeners are closed and reopened."""

    def _listen(self, kind: str, text: str | None = None, backlog: int = 512) -> tuple[socket.socket, str]:
        tries_left = SHARED_PORTS_PER_BLOCK
        if text or kind == "unix":
            return super()._listen(kind, text, backlog)
        while True:  # a reserved port may still be in use by a test that failed
            try:
                return super()._listen(kind, f"{kind}:{allocate_port()}", backlog)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not (tries_left := tries_left - 1):
                    raise


class AddressHarness:
    """A front's actors with stand-in machines by host id.

    `submit` sends a request; its response is in the inbox that it returns.
    """

    def __init__(self, folder: Path, machines: dict[str, Machine], **section: Any) -> None:
        self.folder, self.machines, self.request_count, self.seq = folder, machines, 0, 1
        self.section = AddressesSection(**section)
        self.module: ModuleActor = None  # type: ignore[assignment]

    def host_record(self, name: str, addresses: list[str], **changes: Any) -> dict[str, Any]:
        first, *more = addresses
        return host(name, first, KINDS[name[0]], dials=more, **changes)

    def config(self, order: tuple[str, ...] | None) -> FrontConfig:
        hosts = [self.host_record(name, machine.addresses(order)) for name, machine in self.machines.items()]
        raw = raw_config(
            known={"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 0, "whole": True, "hosts": hosts}}]}
        )
        raw["settings"]["services"][KEYED] |= {"effect": "guarded", "group": "all"}
        return read_front(raw, {}, parse)

    async def start(self, order: tuple[str, ...] | None = None, sockets: int = 1024) -> None:
        for machine in self.machines.values():
            if not machine.endpoint_by_kind:
                await machine.start()
        checks, pool = Checks(), BufferPool(BUDGET.max_buffers)
        descriptors = Descriptors(sockets)
        self.module = ModuleActor(self.config(order), checks, pool, descriptors, BUDGET)
        self.module.dependencies.parse_address = parse
        self.module.context.dialer = Dialer(
            self.module.dependencies, self.section, self.module.context.ensure_descriptor
        )
        self.module.start_with_known_events()

    @property
    def checks(self) -> Checks:
        return self.module.checks

    @property
    def dialer(self) -> Dialer:
        assert self.module.context.dialer is not None
        return self.module.context.dialer

    def cache(self, name: str) -> CacheActor:
        return self.module.caches[self.module.directory.assign_number(name)]

    def route(self, name: str) -> Route:
        route = self.cache(name).route
        assert route is not None
        return route

    def submit(self, cls: int, part: int = 0) -> tuple[str, Inbox, OpenRequest]:
        inbox = Inbox()
        self.request_count += 1
        job = f"{self.request_count:016x}"
        request = open_request(inbox, cls, job, part=part, received_at_ns=clock.now())
        self.module.mailbox.push(RequestArrived(request))
        return job, inbox, request

    async def wait_for_status(self, inbox: Inbox) -> int:
        await until(lambda: bool(inbox.responses), "the request is answered")
        status: int = inbox.responses[0].status
        if inbox.responses[0].body is not None:
            inbox.responses[0].body.release()
        return status

    async def serve(self, cls: int, part: int = 0) -> tuple[str, int]:
        job, inbox, _ = self.submit(cls, part)
        return job, await self.wait_for_status(inbox)

    def disconnect_client(self, request: Any) -> None:
        self.module.mailbox.push(ClientDisconnected(request))

    def apply_event(self, *hosts: dict[str, Any], **event: Any) -> None:
        """Deliver an event of the change log."""
        self.seq += 1
        body = event or {"fleet": {"seq": self.seq, "whole": False, "hosts": list(hosts)}}
        changes = {"seq": self.seq, "results": [{"seq": self.seq} | body]}
        (record,) = read_changes(changes, parse)[1]
        assert not isinstance(record, InvalidRecord), record
        self.module.mailbox.push_urgent(ChangeLogEvent(record))

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        await until(lambda: not self.module.requests.request_by_number, "no request is open")

    async def close(self) -> None:
        self.module.cancel()
        for cache in self.module.caches.values():
            cache.cancel()
        await asyncio.sleep(0)
        for machine in self.machines.values():
            await machine.close()


def long_backoff_section(**changes: Any) -> dict[str, Any]:
    """Return settings with backoffs that outlast a test."""
    backoff = Aside(first=5000, most=10_000)
    return {"stagger_ms": Stagger(), "aside_ms": backoff, "dials": Dials()} | changes


def run_on_uvloop(scenario: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:

        async def run() -> None:
            await scenario()

        runner.run(run())

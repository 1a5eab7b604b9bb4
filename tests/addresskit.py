"""A front's module, caches and dialer in this process, before scripted machines. On uvloop, as in service."""

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
from quincepier.lab import scripted
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import MemoryBudget
from quincepier.memory.open_requests import OpenRequest
from quincepier.net.cache import CacheActor
from quincepier.net.dialer import Dialer, Way
from quincepier.net.messages import Came, Left, News
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import Descriptors
from quincepier.wire.changelog import BadRecord, read_changes
from tests.frontkit import Inbox, host, open_request, raw_config
from tests.loopback import SHARED_PORTS_PER_BLOCK, allocate_port
from tests.standins import until

BUDGET = MemoryBudget(max_buffers=4000, max_body_bytes=1 << 24, max_open_requests=8192)
KINDS = {"s": "std", "p": "parent", "o": "origin"}
SAFE, KEYED, UNSAFE = 1, 0, 2  # the classes, by their number


class Machine(scripted.Machine):
    """Its doors are shut and opened again, so their ports are its own."""

    def _listen(self, kind: str, text: str | None = None, backlog: int = 512) -> tuple[socket.socket, str]:
        left = SHARED_PORTS_PER_BLOCK
        if text or kind == "unix":
            return super()._listen(kind, text, backlog)
        while True:  # all of them are ours, yet one may still be held by a test that failed
            try:
                return super()._listen(kind, f"{kind}:{allocate_port()}", backlog)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or not (left := left - 1):
                    raise


class Inside:
    """Machines by host id; requests go in by `ask`, answers are in the inbox that it gives back."""

    def __init__(self, folder: Path, machines: dict[str, Machine], **section: Any) -> None:
        self.folder, self.machines, self.asked, self.seq = folder, machines, 0, 1
        self.section = AddressesSection(**section)
        self.module: ModuleActor = None  # type: ignore[assignment]

    def record(self, name: str, addresses: list[str], **changes: Any) -> dict[str, Any]:
        first, *more = addresses
        return host(name, first, KINDS[name[0]], dials=more, **changes)

    def config(self, order: tuple[str, ...] | None) -> FrontConfig:
        hosts = [self.record(name, machine.addresses(order)) for name, machine in self.machines.items()]
        raw = raw_config(
            known={"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 0, "whole": True, "hosts": hosts}}]}
        )
        raw["settings"]["services"][KEYED] |= {"effect": "guarded", "group": "all"}
        return read_front(raw, {}, parse)

    async def start(self, order: tuple[str, ...] | None = None, sockets: int = 1024) -> None:
        for machine in self.machines.values():
            if not machine.doors:
                await machine.start()
        checks, pool = Checks(), BufferPool(BUDGET.max_buffers)
        descriptors = Descriptors(sockets)
        self.module = ModuleActor(self.config(order), checks, pool, descriptors, lambda: None, BUDGET)
        self.module.means.judge = parse
        self.module.shared.dialer = Dialer(self.module.means, self.section, self.module.shared.descriptor)
        self.module.begin()

    @property
    def checks(self) -> Checks:
        return self.module.checks

    @property
    def dialer(self) -> Dialer:
        assert self.module.shared.dialer is not None
        return self.module.shared.dialer

    def cache(self, name: str) -> CacheActor:
        return self.module.caches[self.module.directory.assign_number(name)]

    def way(self, name: str) -> Way:
        way = self.cache(name).way
        assert way is not None
        return way

    def ask(self, cls: int, part: int = 0) -> tuple[str, Inbox, OpenRequest]:
        inbox = Inbox()
        self.asked += 1
        job = f"{self.asked:016x}"
        request = open_request(inbox, cls, job, part=part, received_at_ns=clock.now())
        self.module.mailbox.push(Came(request))
        return job, inbox, request

    async def answered(self, inbox: Inbox) -> int:
        await until(lambda: bool(inbox.got), "a final answer comes")
        status: int = inbox.got[0].status
        if inbox.got[0].body is not None:
            inbox.got[0].body.release()
        return status

    async def serve(self, cls: int, part: int = 0) -> tuple[str, int]:
        job, inbox, _ = self.ask(cls, part)
        return job, await self.answered(inbox)

    def leave(self, request: Any) -> None:
        self.module.mailbox.push(Left(request))

    def tell(self, *hosts: dict[str, Any], **event: Any) -> None:
        """News of the change log."""
        self.seq += 1
        body = event or {"fleet": {"seq": self.seq, "whole": False, "hosts": list(hosts)}}
        changes = {"seq": self.seq, "results": [{"seq": self.seq} | body]}
        (record,) = read_changes(changes, parse)[1]
        assert not isinstance(record, BadRecord), record
        self.module.mailbox.urge(News(record))

    async def quiet(self) -> None:
        """Nothing is out and nobody waits for an answer."""
        await until(lambda: not self.module.requests.request_by_number, "nothing is open")

    async def close(self) -> None:
        self.module.cancel()
        for cache in self.module.caches.values():
            cache.cancel()
        await asyncio.sleep(0)
        for machine in self.machines.values():
            await machine.close()


def quick(**changes: Any) -> dict[str, Any]:
    """A section with waits long enough that nothing comes back in the middle of a test by itself."""
    aside = Aside(first=5000, most=10_000)
    return {"stagger_ms": Stagger(), "aside_ms": aside, "dials": Dials()} | changes


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:

        async def run() -> None:
            await scenario()

        runner.run(run())

"""One real front: its parts put together, started, drained and stopped."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
from typing import TYPE_CHECKING, Any

from loguru import logger

from quincepier import clock
from quincepier.checks import Checks
from quincepier.config import FrontConfig, SettingsError, apply_reload, load_front
from quincepier.errors import QuincepierError
from quincepier.lifecycle import signals
from quincepier.memory.buffer_pool import BufferPool
from quincepier.memory.memory_budget import divide_memory, resident_bytes
from quincepier.net.actor import Actor
from quincepier.net.clients import ConnectionManager
from quincepier.net.listener import Listener
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import Descriptors, listen_once_possible
from quincepier.net.watch import Watch

if TYPE_CHECKING:  # imported only where an operators' file is named
    from quincepier.lifecycle.operators import Operators

TICK = 0.1  # seconds between looks at the loop's lag
SWEEP_EVERY, TELL_EVERY = 2, 100  # ticks
# After SIGTERM clients come on for up to 0.6 s; the kill comes the longest deadline, three seconds at most,
# plus 0.7 s after it. What is open shortly before is answered as failed, as the process ends; what comes in
# the time before that, on connections that are never free, is refused, as it would hardly be done by then.
DRAIN_LEAST, DRAIN_DEADLINE_MOST, DRAIN_END, DRAIN_REFUSES = 0.75, 3.0, 0.45, 0.5
GC_AFTER = 10_000  # new objects between looks for circles: what a request leaves has none


class Front:
    def __init__(
        self, config: FrontConfig, path: str | None = None, operators: Operators | None = None
    ) -> None:
        self.config, self.path, self.checks, self.operators = config, path, Checks(), operators
        budget = divide_memory(config.memory_mb, resident_bytes(), config.max_open)
        self.descriptors = Descriptors(config.sockets)
        reserve = self.descriptors.clients_most + self.descriptors.caches_most
        self.pool = BufferPool(budget.max_buffers, min(reserve, budget.max_buffers // 2))
        self.module = ModuleActor(config, self.checks, self.pool, self.descriptors, self._make_room, budget)
        if operators is not None:
            operators.equip(self.module)
        places = operators.places if operators is not None else None
        self.manager = ConnectionManager(self.module.means, lambda: self.module.standing, places)
        self.watch = Watch(self.module.means)
        self.keeper = operators.keeper(self.module) if operators is not None else None
        self.peers = operators.peers(self.module) if operators is not None else None
        self.fleet = operators.fleet(self.module, self.peers) if operators is not None else None
        self.term = asyncio.Event()
        self.lag_most = 0

    def _make_room(self) -> None:
        self.manager.make_room()

    async def serve(self) -> None:
        """Until a SIGTERM or SIGINT has been drained. OSError or PeersError where an address can't be had."""
        loop = asyncio.get_running_loop()
        sock = await listen_once_possible(self.config.listen, self.checks)
        listener = Listener(self.manager, sock)
        signals.tell(lambda: loop.call_soon_threadsafe(self._signalled))
        self.module.begin()
        if self.keeper is not None:
            await self.keeper.restore()
        if self.peers is not None:
            await self.peers.start()
        self.watch.start()
        await self.watch.up_to_date()
        if self.fleet is not None:
            await self.fleet.start()
        upkeep = loop.create_task(self._upkeep())
        keeping = loop.create_task(self.keeper.run()) if self.keeper is not None else None
        serves = not self.term.is_set()  # else it ends before anyone was told that it serves
        if serves:
            listener.start()
            self._log_serving()
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_AFTER, 10, 10)
            self.module.means.pauses.catch_up = self.watch.catch_up
            self.module.means.pauses.start()  # the long turns of a start are none
            await self.term.wait()
        if self.peers is not None:
            await self.peers.leave()
        if serves:
            await self._drain(listener)
        listener.close()
        await self.manager.close_all()
        signals.ignore()
        if self.fleet is not None:
            self.fleet.close()
        if self.keeper is not None and keeping is not None:
            keeping.cancel()
            await self.keeper.write_final()
        upkeep.cancel()
        self.module.means.pauses.stop()
        actors: list[Actor[Any]] = [self.watch, *self.module.caches.values(), self.module]
        for actor in actors:
            actor.cancel()
        await asyncio.sleep(0)
        self._log_stopped()

    def _signalled(self) -> None:
        """In a turn of the loop: what came is done, several of one kind once."""
        came = signals.take()
        if came.intersection(signals.ENDING):
            self.term.set()
        if signal.SIGHUP in came:
            self.reload()

    def reload(self) -> None:
        """SIGHUP: read both files again. Where one can't be used that is logged, and both old ones stay."""
        means, file = self.module.means, None
        try:
            config, now, later = apply_reload(
                means.config, load_front(path=self.path, parse_address=means.judge)
            )
            if self.operators is not None:
                file = self.operators.again()
        except SettingsError as error:
            for fault in getattr(error, "faults", [str(error)]):
                self.checks.event("configuration_rejected", fault)
            return
        means.config = config
        if self.operators is not None and file is not None:
            changed, left = self.operators.take(file, self.module, self.manager)
            if self.fleet is not None:
                self.operators.wishes(self.fleet)
            now, later = now + changed, later + left
        self.checks.count("configurations_reloaded")
        told, held = ", ".join(now) or "nothing", ", ".join(later)
        read = logger.bind(event="configuration_reloaded", keys=told)
        read.info("configuration reloaded: {} changed", told)
        if later:
            told_later = logger.bind(event="restart_required", keys=held)
            told_later.warning("restart required for: {}", held)
        if "changelog" in now:
            self.watch.move()

    async def _drain(self, listener: Listener) -> None:
        """Serve on while clients may still come, then until nothing is open, and end before the kill."""
        began = clock.now()
        deadlines = [c.deadline / clock.SECOND for c in self.config.settings.classes]
        most = min(max(deadlines, default=0.0), DRAIN_DEADLINE_MOST) + 0.7 - DRAIN_END
        left = self.module.requests.unanswered
        logger.bind(event="drain_started", requests=left).info("drain: {} requests open", left)
        while True:
            await asyncio.sleep(TICK / 5)
            spent = (clock.now() - began) / clock.SECOND
            if spent >= DRAIN_LEAST:
                all_taken = listener.stop()
                self.manager.refusing = spent >= most - DRAIN_REFUSES
                self.manager.drain()
                if (all_taken and self._quiet()) or spent >= most:
                    break
        self.manager.refusing = True  # nothing is taken any more that would be answered by nobody
        if not self._quiet():
            left = self.module.requests.unanswered
            told = logger.bind(event="drain_deadline_reached", requests=left)
            told.info("drain deadline reached with {} requests open, answered as failed", left)
            self.module.fail_open()

    def _quiet(self) -> bool:
        """Nothing asked whole is unanswered; what is half-sent holds no drain up."""
        return not self.module.requests.unanswered and self.manager.quiet()

    async def _upkeep(self) -> None:
        """Sweep overdue and idle connections, watch the loop's lag, tell counters that moved."""
        ticks, swept = 0, clock.now()
        while True:
            before = clock.now()
            await asyncio.sleep(TICK)
            self.lag_most = max(self.lag_most, clock.now() - before - int(TICK * clock.SECOND))
            ticks += 1
            try:
                if ticks % SWEEP_EVERY == 0:
                    now = clock.now()
                    late = now - swept > 1.5 * SWEEP_EVERY * TICK * clock.SECOND  # by the front's own fault
                    self.manager.sweep(now)
                    self.module.sweep(now, late)
                    swept = now
            except Exception as error:
                self.checks.exception("exception_in_upkeep", error)
            if ticks % TELL_EVERY == 0 and (moved := self.checks.describe_changes()):
                logger.bind(event="counters", detail=moved).info("counters: {}", moved)

    def _log_serving(self) -> None:
        host, port = self.config.listen
        told = logger.bind(event="front_serving", front=self.config.name, address=f"{host}:{port}")
        told.info("front {} serves on {}:{}", self.config.name, host, port)

    def _log_stopped(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        told = logger.bind(
            event="front_stopped",
            front=self.config.name,
            cpu_s=round(used.ru_utime + used.ru_stime, 2),
            memory_kb=used.ru_maxrss,
            descriptors=self.descriptors.peak,
            lag_ms=round(self.lag_most / clock.MS),
            requests=self.module.requests.accepted,
        )
        told.info(
            "front {} stopped: CPU {:.2f} s, memory {:.0f} MB at most, descriptors {} at most, "
            "buffers {} of {}, loop lag {:.0f} ms at most, requests {}; counters: {}",
            self.config.name,
            used.ru_utime + used.ru_stime,
            used.ru_maxrss / 1024,
            self.descriptors.peak,
            self.pool.allocated,
            self.pool.max_buffers,
            self.lag_most / clock.MS,
            self.module.requests.accepted,
            ", ".join(f"{kind} {n}" for kind, n in sorted(self.checks.counts.items())) or "none",
        )


def run(config: FrontConfig, path: str | None = None, operators: Operators | None = None) -> int:
    """The exit code: 0 after a drain, 1 where the address can't be had."""
    # where hundreds of fronts are played an io_uring is refused; libuv reads this as its first loop begins
    os.environ.setdefault("UV_USE_IO_URING", "0")
    import uvloop

    async def main() -> int:
        try:
            await Front(config, path, operators).serve()
        except OSError as error:
            host, port = config.listen
            logger.error("can't listen on {}:{}: {}", host, port, os.strerror(error.errno or 0))
            return 1
        except QuincepierError as error:
            logger.error("{}", error.line())
            return 2
        return 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            return runner.run(main())
        finally:
            signals.ignore()  # where it did not come to serve either

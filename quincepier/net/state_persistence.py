"""The shell of the package `state`: what was learned is read at the start and written now and then.

Reading and writing happen in a thread of their own, so that a disk that hangs delays no request and no end.
Facts are gathered in slices; a turn of the loop holds few of them.
"""

from __future__ import annotations

import asyncio
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from quincepier import clock
from quincepier.net.module import ModuleActor
from quincepier.recovery.learned_facts import export_facts, restore_facts
from quincepier.state import FileSystem, LoadedSnapshot, SnapshotStore, Timestamp, age_of
from quincepier.state.learned_state import (
    AddressBackoffRecord,
    LearnedStateBuilder,
    NameMapping,
    encode,
    facts_from_state,
)
from quincepier.state.section import StateSection

SLICE = 100  # facts gathered in one turn of the loop
START_WAITS = 0.05  # seconds that a start waits for what is kept
BOOT = Path("/proc/sys/kernel/random/boot_id")


def stamp() -> Timestamp:
    """Now, by both clocks."""
    try:
        boot = BOOT.read_text().strip()
    except OSError:
        boot = ""
    return Timestamp(max(time.time_ns() // clock.MS, 0), boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME))


class StatePersistence:
    """One for a front. Whatever fails here, the front serves on without it."""

    def __init__(self, module: ModuleActor, section: StateSection) -> None:
        self.module, self.checks, self.section = module, module.checks, section
        self.store = SnapshotStore(FileSystem(Path(section.folder)))
        self.random = random.Random(module.config.seed)
        self.usable, self.busy = False, False

    def _thread(self, work: Callable[[], Any]) -> asyncio.Future[Any]:
        """Its outcome; an exception as the result. The thread ends with the process, done or not."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[Any] = loop.create_future()

        def told(outcome: Any) -> None:
            if not done.done():
                done.set_result(outcome)

        def body() -> None:
            try:
                outcome = work()
            except Exception as error:
                outcome = error
            try:
                loop.call_soon_threadsafe(told, outcome)
            except RuntimeError:  # the loop has ended meanwhile
                return

        threading.Thread(target=body, daemon=True, name="state").start()
        return done

    # The start

    async def recall(self) -> None:
        """Tell the module what an earlier start kept, if that can be read in time."""
        reading = self._thread(self._open)
        try:
            found = await asyncio.wait_for(asyncio.shield(reading), START_WAITS)
        except TimeoutError:
            self.checks.event("state not used", "it can't be read in time")
            reading.add_done_callback(lambda done: self._ready(done.result()))
            return
        if self._ready(found) and found.kept is not None:
            self._take(found)

    def _open(self) -> LoadedSnapshot:
        self.store.open()
        return self.store.load()

    def _ready(self, found: LoadedSnapshot | Exception) -> bool:
        """Whether the folder is ours from now on."""
        if isinstance(found, Exception):
            self.checks.event("state not used", str(found))
            return False
        for name, error in found.faults:
            self.checks.event("state not used", f"{name}: {error}")
        if self.store.kept_out:
            self.checks.event("state not written", self.store.kept_out)
        self.usable = True
        return True

    def _take(self, found: LoadedSnapshot) -> None:
        assert found.kept is not None
        age = age_of(found.kept.stamp, stamp())
        if age is None:
            self.checks.event("state of unknown age", "its clocks are ahead of this machine's")
        told = list(facts_from_state(found.kept, self._names()))
        try:
            counted = restore_facts(self.module.router, told, age)
        except Exception as error:  # a defect: the front begins as one that knows nothing
            self.checks.event("exception as state was recalled", f"{type(error).__name__}: {error}")
            return
        self.checks.count("facts recalled", counted)
        if age is not None and self.module.shared.dialer is not None:
            asides = [(a.host, a.address, a.failures, a.left - age) for a in found.kept.aside]
            self.checks.count("addresses recalled as set aside", self.module.shared.dialer.recall(asides))
        ms, size = -1 if age is None else age // clock.MS, found.size
        bound = logger.bind(event="state read", facts=counted, of=len(told), age_ms=ms, bytes=size)
        bound.info("state read: {} of {} facts count, {} ms old, {} bytes", counted, len(told), ms, size)

    def _names(self) -> NameMapping:
        directory, config = self.module.directory, self.module.config

        def machine(number: int) -> tuple[str, int] | None:
            entry = directory.find_entry(number)
            return None if entry is None else (entry.record.host, entry.record.born_ms)

        def number(host: str, born_ms: int) -> int | None:
            entry = directory.entry_by_host.get(host)
            known = entry is not None and entry.record.born_ms == born_ms
            return entry.machine.cache if entry is not None and known else None

        return NameMapping(config.classes, config.kinds, machine, number)

    # Now and then

    async def run(self) -> None:
        """Write every so many seconds, at moments of this front's own, until it is cancelled."""
        while True:
            await asyncio.sleep(self.section.every_s * self.random.uniform(0.8, 1.2))
            if self.busy:
                self.checks.event("state not written", "the last write is not over")
            else:
                await self._save()

    async def _save(self) -> asyncio.Future[Any] | None:
        """A write that has begun; None where there is none, for whatever reason."""
        if not self.usable or self.busy or self.store.kept_out:
            return None
        try:
            return self._write(await self._gather())
        except Exception as error:  # a defect: the next write is tried all the same
            self.checks.event("exception as state was written", f"{type(error).__name__}: {error}")
            return None

    async def _gather(self) -> LearnedStateBuilder:
        gathered = LearnedStateBuilder(self._names())
        for n, fact in enumerate(export_facts(self.module.router), 1):
            gathered.add(fact)
            if n % SLICE == 0:
                await asyncio.sleep(0)
        if self.module.shared.dialer is not None:
            for host, address, failures, left in self.module.shared.dialer.aside():
                gathered.aside.append(AddressBackoffRecord(host, address, failures, left))
        return gathered

    def _write(self, gathered: LearnedStateBuilder) -> asyncio.Future[Any]:
        writer, now = self.module.config.name, stamp()
        writing = self._thread(lambda: self.store.save(encode(gathered.kept(writer, now))))
        self.busy = True

        def over(done: asyncio.Future[Any]) -> None:
            self.busy = False
            outcome = done.result()
            if isinstance(outcome, Exception):
                self.checks.event("state not written", str(outcome))
            else:
                self.checks.count("state written")

        writing.add_done_callback(over)
        return writing

    async def end(self) -> None:
        """The last write; an end of the front is held up for no longer than the section says."""
        if self.section.end_ms and (writing := await self._save()) is not None:
            await asyncio.wait((writing,), timeout=self.section.end_ms / 1000)

"""Persistence of a front's learned state: restored once at the start, then written periodically.

Disk access runs in threads of its own, so that a disk that hangs delays no request, start or stop. Facts are
collected in slices, one in each iteration of the event loop. If anything here fails, the front serves on.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from loguru import logger

from quincepier import clock
from quincepier.net.daemon_thread import run_in_daemon_thread
from quincepier.net.module import ModuleActor
from quincepier.recovery.learned_facts import export_facts, restore_facts
from quincepier.state import (
    FileSystem,
    LearnedState,
    LoadedSnapshot,
    SnapshotStore,
    age_of,
    current_timestamp,
)
from quincepier.state.fact_conversion import (
    LearnedStateBuilder,
    MachineIdentity,
    NameMapping,
    facts_from_state,
)
from quincepier.state.learned_state import AddressBackoffRecord, encode
from quincepier.state.section import StateSection

FACTS_PER_SLICE = 100  # collected in one iteration of the event loop
LOAD_TIMEOUT_S = 0.05  # how long a start waits for the disk
WRITE_INTERVAL_JITTER = 0.2  # fraction of the interval by which it varies
THREAD_NAME = "state"
MS_PER_S = 1000


class StatePersistence:
    """Restores and writes the learned state of one front.

    Args:
        module: The decision module's actor, whose router's facts are stored.
        section: The section `state` of the operator's file.

    Attributes:
        is_usable: The folder was opened and read.
        is_writing: A write is under way.
    """

    def __init__(self, module: ModuleActor, section: StateSection) -> None:
        self.module = module
        self.checks = module.checks
        self.section = section
        self.store = SnapshotStore(FileSystem(Path(section.folder)))
        self.random = random.Random(module.config.seed)
        self.is_usable = False
        self.is_writing = False

    # Restore

    async def restore(self) -> None:
        """Give the router the facts that an earlier process stored, if they can be read in time."""
        loading = run_in_daemon_thread(self._open_and_load, THREAD_NAME)
        await asyncio.wait((loading,), timeout=LOAD_TIMEOUT_S)
        if not loading.done():
            self.checks.event("state_not_used", "the stored state was not read in time")
            loading.add_done_callback(lambda done: self._on_loaded(done.result()))
            return
        loaded = self._on_loaded(loading.result())
        if loaded is not None and loaded.newest is not None:
            self._restore_state(loaded.newest.state, loaded.newest.size_bytes)

    def _open_and_load(self) -> LoadedSnapshot:
        self.store.open()
        return self.store.load()

    def _on_loaded(self, outcome: LoadedSnapshot | Exception) -> LoadedSnapshot | None:
        """Use the folder from now on, if it could be opened."""
        if isinstance(outcome, Exception):
            self.checks.event("state_not_used", str(outcome))
            return None
        for fault in outcome.faults:
            self.checks.event("state_not_used", f"{fault.name}: {fault.error}")
        if self.store.read_only_reason:
            self.checks.event("state_not_written", self.store.read_only_reason)
        self.is_usable = True
        return outcome

    def _restore_state(self, state: LearnedState, size_bytes: int) -> None:
        age_ns = age_of(state.written_at, current_timestamp())
        if age_ns is None:
            self.checks.event(
                "state_age_unknown", "the stored timestamps are later than this machine's clocks"
            )
        facts = list(facts_from_state(state, self._name_mapping()))
        try:
            restored = restore_facts(self.module.router, facts, age_ns)
        except Exception as error:  # noqa: BLE001 - a defect: start without stored state
            self.checks.exception("state_restore_exception", error)
            return
        self.checks.count("state_facts_restored", restored)
        if age_ns is not None:
            self._restore_address_backoffs(state, age_ns)
        age_ms = -1 if age_ns is None else age_ns // clock.MS
        logger.bind(
            event="state_read", facts=restored, total=len(facts), age_ms=age_ms, size_bytes=size_bytes
        ).info(
            "state read: {} of {} facts count, {} ms old, {} bytes", restored, len(facts), age_ms, size_bytes
        )

    def _restore_address_backoffs(self, state: LearnedState, age_ns: int) -> None:
        dialer = self.module.context.dialer
        if dialer is None:
            return
        backoffs = [
            (record.host, record.address, record.failure_count, record.remaining_ns - age_ns)
            for record in state.address_backoffs
        ]
        self.checks.count("state_addresses_restored", dialer.restore_backoffs(backoffs))

    def _name_mapping(self) -> NameMapping:
        directory = self.module.directory
        config = self.module.config

        def identify(number: int) -> MachineIdentity | None:
            entry = directory.find_entry(number)
            return None if entry is None else MachineIdentity(entry.record.host, entry.record.started_at_ms)

        def find_number(identity: MachineIdentity) -> int | None:
            entry = directory.entry_by_host.get(identity.host)
            if entry is None or entry.record.started_at_ms != identity.started_at_ms:
                return None
            return entry.machine.number

        return NameMapping(config.classes, config.kinds, identify, find_number)

    # Periodic writes

    async def run(self) -> None:
        """Write at intervals with jitter until cancelled."""
        while True:
            jitter = self.random.uniform(1 - WRITE_INTERVAL_JITTER, 1 + WRITE_INTERVAL_JITTER)
            await asyncio.sleep(self.section.write_interval_s * jitter)
            if self.is_writing:
                self.checks.event("state_not_written", "the previous write is still in progress")
            else:
                await self._start_write()

    async def write_final(self) -> None:
        """Write a last time as the front stops; wait no longer than `final_write_timeout_ms`."""
        timeout_ms = self.section.final_write_timeout_ms
        if timeout_ms and (writing := await self._start_write()) is not None:
            await asyncio.wait((writing,), timeout=timeout_ms / MS_PER_S)

    async def _start_write(self) -> asyncio.Future[int | Exception] | None:
        """Start a write and return its future; None if no write is possible now."""
        if not self.is_usable or self.is_writing or self.store.read_only_reason:
            return None
        try:
            return self._write(await self._collect_facts())
        except Exception as error:  # noqa: BLE001 - a defect: the next write is still tried
            self.checks.exception("state_write_exception", error)
            return None

    async def _collect_facts(self) -> LearnedStateBuilder:
        builder = LearnedStateBuilder(self._name_mapping())
        for count, fact in enumerate(export_facts(self.module.router), 1):
            builder.add(fact)
            if count % FACTS_PER_SLICE == 0:
                await asyncio.sleep(0)
        if self.module.context.dialer is not None:
            for host, address, failure_count, remaining_ns in self.module.context.dialer.list_backoffs():
                builder.add_address_backoff(AddressBackoffRecord(host, address, failure_count, remaining_ns))
        return builder

    def _write(self, builder: LearnedStateBuilder) -> asyncio.Future[int | Exception]:
        writer = self.module.config.name
        written_at = current_timestamp()

        def save() -> int:
            return self.store.save(encode(builder.build(writer, written_at)))

        writing = run_in_daemon_thread(save, THREAD_NAME)
        self.is_writing = True
        writing.add_done_callback(self._on_written)
        return writing

    def _on_written(self, writing: asyncio.Future[int | Exception]) -> None:
        self.is_writing = False
        outcome = writing.result()
        if isinstance(outcome, Exception):
            self.checks.event("state_not_written", str(outcome))
        else:
            self.checks.count("state_writes")

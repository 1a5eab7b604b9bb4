"""The front process: creates the actors of a front, starts, drains and stops them."""

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
from quincepier.net.connection_manager import ConnectionManager
from quincepier.net.listener import Listener
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import Descriptors, listen_with_retries
from quincepier.net.watch import ChangeLogWatcher

if TYPE_CHECKING:  # imported at run time only if an operator's file is named
    from quincepier.lifecycle.operators import OperatorConfiguration

TICK_S = 0.1  # interval of the periodic work, which also measures the event loop's lag
SWEEP_INTERVAL_TICKS, COUNTER_LOG_INTERVAL_TICKS = 2, 100  # ticks
# After SIGTERM, clients may connect for up to 0.6 s; the process is killed after the longest request deadline
# (3 s at most) plus 0.7 s. DRAIN_END_MARGIN_S before the kill, open requests get a failure as their response
# and the process ends. Requests that arrive in the REFUSAL_PERIOD_S before that, on connections that never
# become idle, are rejected, since they would hardly finish in time.
MIN_DRAIN_S, MAX_DRAINED_DEADLINE_S, DRAIN_END_MARGIN_S, REFUSAL_PERIOD_S = 0.75, 3.0, 0.45, 0.5
GC_THRESHOLD_OBJECTS = 10_000  # between collections; requests create no reference cycles


class Front:
    """A front: its actors, its listener and the optional components of the operator's file.

    Args:
        config: The configuration.
        path: The configuration's file, read again at SIGHUP; None for the default.
        operators: The operator's file; None if none is named.

    Attributes:
        config: The configuration that the front started with.
        config_path: The configuration's file.
        checks: Counters, event log and invariant checks.
        operator_configuration: The operator's file.
        descriptors: Counts the front's sockets and holds the limits on them.
        pool: The buffers for reads and response bodies.
        module: The decision module's actor.
        connection_manager: Manages the client connections.
        change_log_watcher: Follows the change log.
        state_persistence: Stores learned state, if the operator's file has the section `state`.
        peer_network: Connects to other fronts, if it has the section `members`.
        agreement_node: Agrees on rule versions with other fronts, if it has the section `agreement`.
        stop_requested: Set by SIGTERM and SIGINT.
        max_loop_lag_ns: Largest lag of the event loop so far.
    """

    def __init__(
        self, config: FrontConfig, path: str | None = None, operators: OperatorConfiguration | None = None
    ) -> None:
        self.config, self.config_path, self.checks, self.operator_configuration = (
            config,
            path,
            Checks(),
            operators,
        )
        budget = divide_memory(config.memory_mb, resident_bytes(), config.max_open)
        self.descriptors = Descriptors(config.sockets, budget.max_outbound)
        reserve = self.descriptors.max_clients + self.descriptors.max_outbound
        self.pool = BufferPool(budget.max_buffers, min(reserve, budget.max_buffers // 2))
        self.module = ModuleActor(config, self.checks, self.pool, self.descriptors, budget)
        if operators is not None:
            operators.configure_addresses(self.module)
        client_limits = operators.client_connection_limits if operators is not None else None
        self.connection_manager = ConnectionManager(
            self.module.dependencies, lambda: self.module.has_endpoint_list, client_limits
        )
        self.change_log_watcher = ChangeLogWatcher(self.module.dependencies)
        self.state_persistence = (
            operators.create_state_persistence(self.module) if operators is not None else None
        )
        self.peer_network = operators.create_peer_network(self.module) if operators is not None else None
        self.agreement_node = (
            operators.create_agreement_node(self.module, self.peer_network) if operators is not None else None
        )
        self.stop_requested = asyncio.Event()
        self.max_loop_lag_ns = 0

    async def serve(self) -> None:
        """Serve until a SIGTERM or SIGINT and the drain after it.

        Raises:
            OSError: The address to listen on is not available.
            PeersError: The address for other fronts is not available.
        """
        loop = asyncio.get_running_loop()
        sock = await listen_with_retries(self.config.listen, self.checks)
        listener = Listener(self.connection_manager, sock)
        signals.set_listener(lambda: loop.call_soon_threadsafe(self._on_signal))
        self.module.start_with_known_events()
        if self.state_persistence is not None:
            await self.state_persistence.restore()
        if self.peer_network is not None:
            await self.peer_network.start()
        self.change_log_watcher.start()
        await self.change_log_watcher.wait_until_caught_up()
        if self.agreement_node is not None:
            await self.agreement_node.start()
        upkeep = loop.create_task(self._upkeep())
        persistence_task = (
            loop.create_task(self.state_persistence.run()) if self.state_persistence is not None else None
        )
        serves = not self.stop_requested.is_set()  # a signal during the start ends it before it serves
        if serves:
            listener.start()
            self._log_serving()
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD_OBJECTS, 10, 10)
            self.module.dependencies.pause_detector.catch_up = self.change_log_watcher.catch_up
            # started only now, since the long loop iterations of a start are no pauses
            self.module.dependencies.pause_detector.start()
            await self.stop_requested.wait()
        if self.peer_network is not None:
            await self.peer_network.leave()
        if serves:
            await self._drain(listener)
        listener.close()
        await self.connection_manager.close_all()
        signals.ignore_signals()
        if self.agreement_node is not None:
            self.agreement_node.close()
        if self.state_persistence is not None and persistence_task is not None:
            persistence_task.cancel()
            await self.state_persistence.write_final()
        upkeep.cancel()
        self.module.dependencies.pause_detector.stop()
        actors: list[Actor[Any]] = [self.change_log_watcher, *self.module.caches.values(), self.module]
        for actor in actors:
            actor.cancel()
        await asyncio.sleep(0)
        self._log_stopped()

    def _on_signal(self) -> None:
        """Act on the signals received, each kind once; runs in an iteration of the event loop."""
        received = signals.take_received()
        if received.intersection(signals.STOP_SIGNALS):
            self.stop_requested.set()
        if signal.SIGHUP in received:
            self.reload()

    def reload(self) -> None:
        """Read the configuration and the operator's file again, after SIGHUP.

        If one of them is invalid, the faults are logged and both old files stay in force.
        """
        dependencies, operator_file = self.module.dependencies, None
        try:
            config, applied, deferred = apply_reload(
                dependencies.config,
                load_front(path=self.config_path, parse_address=dependencies.parse_address),
            )
            if self.operator_configuration is not None:
                operator_file = self.operator_configuration.read_file()
        except SettingsError as error:
            for fault in getattr(error, "faults", [str(error)]):
                self.checks.event("configuration_rejected", fault)
            return
        dependencies.config = config
        if self.operator_configuration is not None and operator_file is not None:
            applied_sections, deferred_sections = self.operator_configuration.apply_file(
                operator_file, self.module, self.connection_manager
            )
            if self.agreement_node is not None:
                self.operator_configuration.update_agreement_node(self.agreement_node)
            applied, deferred = applied + applied_sections, deferred + deferred_sections
        self.checks.count("configurations_reloaded")
        applied_keys, deferred_keys = ", ".join(applied) or "nothing", ", ".join(deferred)
        log = logger.bind(event="configuration_reloaded", keys=applied_keys)
        log.info("configuration reloaded: {} changed", applied_keys)
        if deferred:
            deferred_log = logger.bind(event="restart_required", keys=deferred_keys)
            deferred_log.warning("restart required for: {}", deferred_keys)
        if "changelog" in applied:
            self.change_log_watcher.on_address_changed()

    async def _drain(self, listener: Listener) -> None:
        """Serve while clients may still connect, then until no request is open.

        Return before the process is killed.
        """
        started_at_ns = clock.now()
        deadlines = [c.deadline / clock.SECOND for c in self.config.settings.classes]
        max_drain_s = min(max(deadlines, default=0.0), MAX_DRAINED_DEADLINE_S) + 0.7 - DRAIN_END_MARGIN_S
        open_count = self.module.requests.unanswered
        logger.bind(event="drain_started", requests=open_count).info("drain: {} requests open", open_count)
        while True:
            await asyncio.sleep(TICK_S / 5)
            elapsed_s = (clock.now() - started_at_ns) / clock.SECOND
            if elapsed_s >= MIN_DRAIN_S:
                is_backlog_empty = listener.stop()
                self.connection_manager.is_rejecting = elapsed_s >= max_drain_s - REFUSAL_PERIOD_S
                self.connection_manager.drain()
                if (is_backlog_empty and self._is_idle()) or elapsed_s >= max_drain_s:
                    break
        self.connection_manager.is_rejecting = True  # a request accepted from now on would get no response
        if not self._is_idle():
            open_count = self.module.requests.unanswered
            log = logger.bind(event="drain_deadline_reached", requests=open_count)
            log.info("drain deadline reached with {} requests open, answered as failed", open_count)
            self.module.fail_open_requests()

    def _is_idle(self) -> bool:
        """Whether every complete request has its response; incomplete ones don't delay a drain."""
        return not self.module.requests.unanswered and self.connection_manager.is_quiescent()

    async def _upkeep(self) -> None:
        """Close overdue and idle connections, free buffers, measure the loop's lag, log changed counters."""
        ticks, swept_at_ns = 0, clock.now()
        while True:
            slept_since_ns = clock.now()
            await asyncio.sleep(TICK_S)
            self.max_loop_lag_ns = max(
                self.max_loop_lag_ns, clock.now() - slept_since_ns - int(TICK_S * clock.SECOND)
            )
            ticks += 1
            try:
                if self.module.dependencies.body_allocator.is_short:
                    self.connection_manager.free_buffers(clock.now())
                if ticks % SWEEP_INTERVAL_TICKS == 0:
                    now = clock.now()
                    # a late sweep is the fault of this process: its peers may not be stalled
                    late = now - swept_at_ns > 1.5 * SWEEP_INTERVAL_TICKS * TICK_S * clock.SECOND
                    self.connection_manager.sweep(now)
                    self.module.sweep(now, late)
                    swept_at_ns = now
            except Exception as error:
                self.checks.exception("exception_in_upkeep", error)
            if ticks % COUNTER_LOG_INTERVAL_TICKS == 0 and (counters := self.checks.describe_changes()):
                logger.bind(event="counters", detail=counters).info("counters: {}", counters)

    def _log_serving(self) -> None:
        host, port = self.config.listen
        log = logger.bind(event="front_serving", front=self.config.name, address=f"{host}:{port}")
        log.info("front {} serves on {}:{}", self.config.name, host, port)

    def _log_stopped(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        log = logger.bind(
            event="front_stopped",
            front=self.config.name,
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            memory_kb=usage.ru_maxrss,
            descriptors=self.descriptors.peak,
            lag_ms=round(self.max_loop_lag_ns / clock.MS),
            requests=self.module.requests.accepted,
        )
        log.info(
            "front {} stopped: CPU {:.2f} s, memory {:.0f} MB at most, descriptors {} at most, "
            "buffers {} of {}, loop lag {:.0f} ms at most, requests {}; counters: {}",
            self.config.name,
            usage.ru_utime + usage.ru_stime,
            usage.ru_maxrss / 1024,
            self.descriptors.peak,
            self.pool.allocated,
            self.pool.max_buffers,
            self.max_loop_lag_ns / clock.MS,
            self.module.requests.accepted,
            ", ".join(f"{kind} {n}" for kind, n in sorted(self.checks.counts.items())) or "none",
        )


def run(config: FrontConfig, path: str | None = None, operators: OperatorConfiguration | None = None) -> int:
    """Run a front until it has stopped.

    Args:
        config: The configuration.
        path: The configuration's file; None for the default.
        operators: The operator's file; None if none is named.

    Returns:
        The exit code: 0 after a drain, 1 if the front can't listen on its address, 2 for another error.
    """
    # the kernel refuses io_uring with hundreds of fronts on one machine; libuv reads this for its first loop
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
            signals.ignore_signals()  # also if the front never came to serve

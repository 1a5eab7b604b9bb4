"""The test rig: starts a fleet of front processes and their surroundings, injects faults, stops them all.

Fronts run as in service and reach all other processes through the relays only. The rig starts each fault at
its time or at a counted event, and records what it did for the evidence.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import resource
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from quincepier.lab.experiment import (
    ON_FRONTS,
    ON_PATHS,
    SECOND,
    Experiment,
    Fault,
    FaultKind,
    NetPath,
    Variant,
)
from quincepier.lab.fleet import disk, load, relay, standins
from quincepier.lab.fleet.evidence import Evidence, FleetRun, ProcessUsage, RigRecord
from quincepier.lab.fleet.operators_file import sections
from quincepier.lab.fleet.ports import PortBlock
from quincepier.lab.fleet.processes import FRONT_START_TIMEOUT_S, ROOT, Child, FrontProcess, RigError
from quincepier.lab.fleet.setup import settings
from quincepier.lab.fleet.signal_series import play_series

SERVE_COMMAND = (sys.executable, "-O", "-m", "quincepier", "serve")
MAX_RATE_PER_LOAD_PROCESS = 600.0  # requests per second
NS_PER_CLOCK_TICK = 1e9 / os.sysconf("SC_CLK_TCK")
SPARE_DESCRIPTORS = 200  # for files and pipes, besides listeners and connections


class Rig:
    """One run of an experiment.

    Args:
        path: The experiment file.
        experiment: The experiment as read from it.
        variant: The variant of the settings to play.
        seed: Seeds the load, the faults and the fronts.
        checkout: Working directory of the fronts, for a front of another checkout; default: this one.
        command: Returns the command line that starts a front, without its options.
        operators: Returns the operators' file of a front; default: as the experiment has it.
        keep: Folder to create for the run's files and to leave in place; default: a temporary folder.
        progress: Is called with the share of the run that is over, from 0 to 1.
    """

    def __init__(
        self,
        path: str,
        experiment: Experiment,
        variant: Variant,
        seed: int,
        *,
        checkout: str | None = None,
        command: Callable[[int], Sequence[str]] = lambda front: SERVE_COMMAND,
        operators: Callable[[int, Rig], str] | None = None,
        keep: str | None = None,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        self.path, self.experiment, self.variant, self.seed = path, experiment, variant, seed
        self.checkout, self.command, self.operators = checkout or str(ROOT), command, operators
        self.keep, self.progress = keep, progress
        self.random = random.Random(f"{seed} {experiment.name} rig")
        self.record, self.void = RigRecord(), ""
        self.record.allows_second_copies = bool(variant.settings.get("second_copies", True))
        self.fronts: list[FrontProcess] = []
        self.loads: list[Child] = []
        self.events: list[dict[str, Any]] = []
        self.ports: dict[str, int] = {}
        self.port_block: PortBlock | None = None
        self.front_port = self.peer_port = 0  # the same for all fronts: for clients, for other fronts
        self.usage_by_kind: dict[str, list[tuple[float, float]]] = {}
        self.unfinished_settled_faults = 0  # the run lasts until these are over
        self.armed_faults: dict[int, Fault] = {}  # by number; each waits for a counted event
        self.pace_by_load: dict[str, dict[str, int]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.relays: dict[str, Child] = {}  # by path name

    async def play(self) -> FleetRun:
        """Play the run and return its verdict and figures.

        Raises:
            RigError: The machine lacks the resources, or a process does not start.
            OperatorError, ValueError: A setting can't be passed to front processes.
        """
        for zone in range(self.experiment.fleet.zones):
            settings(self.experiment, zone, self.variant)
        self.broken = asyncio.Event()
        self._check_descriptor_limit()
        self.folder = self._make_folder()
        try:
            await self._start()
            await self._run()
            await self._stop()
            run = Evidence(self.experiment, self.record, self.folder).run(
                self.variant.name, self.seed, self.void, self._summarize_usage()
            )
        finally:
            await self._end()
        return run

    # Set up

    def _check_descriptor_limit(self) -> None:
        """Raise RigError, before any process starts, if the fleet needs more descriptors than are allowed."""
        fleet = self.experiment.fleet
        pairs = fleet.fronts * (fleet.caches + fleet.parents + 3)
        required = 3 * pairs + SPARE_DESCRIPTORS + (2 * fleet.fronts**2 if self._needs_peer_paths() else 0)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < required <= hard:
            resource.setrlimit(resource.RLIMIT_NOFILE, (required, hard))
        elif hard < required:
            raise RigError(f"{required} descriptors are wanted for so many pairs, {hard} are allowed")

    def operators_sections(self, front: int) -> str:
        """Return the operators' file of a front in a fleet with voters, or "" without voters."""
        plan, ports = self.experiment, (self.peer_port, self.ports.get("peers", 0))
        if not plan.voters:
            return ""
        return sections(front, plan.fleet.fronts, plan.voters, *ports, str(self.folder)) + plan.wishes

    def _needs_peer_paths(self) -> bool:
        faults = any(f.path is NetPath.PEERS for f in self.experiment.faults)
        return faults or self.operators is not None or self.experiment.voters > 0

    def _make_folder(self) -> Path:
        try:
            if self.keep is None:
                return Path(tempfile.mkdtemp(prefix="quincepier-fleet-"))
            folder = Path(self.keep)
            folder.mkdir(parents=True, exist_ok=False)
            return folder.resolve()
        except OSError as error:
            raise RigError(
                f"{self.keep or tempfile.gettempdir()} can't be written: {error.strerror}"
            ) from None

    async def _start(self) -> None:
        fleet, experiment_path = self.experiment.fleet, str(Path(self.path).resolve())
        wall = time.time_ns() - time.monotonic_ns()
        self.standins = Child("standins", self)
        plan = standins.Plan(str(self.folder), experiment_path, self.seed, wall)
        message = await self.standins.start(standins.__name__, plan)
        self.events = message["events"]
        try:
            block = self.port_block = PortBlock()
        except OSError as error:
            raise RigError(str(error)) from None
        self.front_port, self.peer_port = block.take(), block.take()
        machines = fleet.caches + fleet.parents + 1
        for path in (
            relay.CLIENTS,
            relay.CACHES,
            relay.LOG,
            *([relay.PEERS] if self._needs_peer_paths() else []),
        ):
            child = self.relays[path] = Child(f"relay-{path}", self)
            self.ports[path] = block.take()
            removes_folder = self.keep is None and path == relay.CLIENTS
            relay_plan = relay.Plan(
                str(self.folder), removes_folder, self.seed, fleet.fronts, machines, message["machines"],
                message["log"], self.front_port, {path: self.ports[path]}, self.peer_port,
            )  # fmt: skip
            await child.start(relay.__name__, relay_plan)
        self.standins.send(ports=self.ports)
        self.fronts = [FrontProcess(self, n) for n in range(fleet.fronts)]
        for front in self.fronts:
            front.prepare()
        await asyncio.gather(*(front.start() for front in self.fronts))
        if not_serving := [f.number for f in self.fronts if not f.is_serving]:
            log = self.fronts[not_serving[0]].folder / "log"
            lines = log.read_text(errors="replace").strip().splitlines() if log.exists() else []
            raise RigError(
                f"front {not_serving[0]} does not start: {lines[-1] if lines else 'its log is empty'}"
            )
        for front in self.fronts:
            front.initial_state_files = disk.read_files(front.state)
        count = max(1, math.ceil(self.experiment.load.rate / MAX_RATE_PER_LOAD_PROCESS))
        self.loads = [Child(f"load-{n}", self) for n in range(count)]
        for n, child in enumerate(self.loads):
            share = load.Plan(str(self.folder), experiment_path, self.seed, count, n, self.ports["clients"])
            await child.start(load.__name__, share)

    # The run

    async def _run(self) -> None:
        seconds = self.experiment.seconds
        self.record.start = time.monotonic_ns() + SECOND // 5
        self.record.returns.clear()
        self.unfinished_settled_faults = sum(fault.settled for fault in self.experiment.faults)
        self._send_to_loads(begin=self.record.start)
        for n, fault in enumerate(self.experiment.faults):
            self._spawn(self._schedule_fault(n, fault))
        max_wait_s = self.experiment.longest_deadline_s + 1.0
        while not self.broken.is_set():
            elapsed_s = (time.monotonic_ns() - self.record.start) / SECOND
            self.progress(min(max(elapsed_s / (seconds + max_wait_s), 0.0), 1.0))
            if elapsed_s >= seconds and not self.unfinished_settled_faults:
                self._send_to_loads(pace=True)
                if elapsed_s >= seconds + max_wait_s or (
                    self.pace_by_load and not any(p["open"] for p in self.pace_by_load.values())
                ):
                    break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.broken.wait(), 0.2)
        self._send_to_loads(pace=True)
        await asyncio.sleep(0.2)
        self.progress(1.0)
        sent, late = (sum(p[key] for p in self.pace_by_load.values()) for key in ("sent", "behind"))
        if late > load.MAX_LATE_ARRIVAL_SHARE * max(sent, 1):
            self.void = self.void or f"the load can't keep its pace: {late} of {sent} arrivals were late"

    def _send_to_loads(self, **message: Any) -> None:
        for child in self.loads:
            child.send(**message)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                self.void = self.void or f"the rig failed: {type(error).__name__}: {error}"
                self.broken.set()

        task.add_done_callback(done)

    def set_reachability(
        self, front: int, how: str, paths: tuple[str, ...] = (relay.CLIENTS, relay.PEERS)
    ) -> None:
        """Have the relays of `paths` accept ("open") or refuse ("refused") connections to a front."""
        for path in paths:
            if path in self.relays:
                self.relays[path].send(live=path, other=front, how=how)

    def on_message(self, child: Child, message: dict[str, Any]) -> None:
        """Handle a message of one of the rig's own processes."""
        if "event" in message:
            self.events.append(message["event"])
        elif "live" in message or "machines" in message:
            self.relays[relay.CACHES].send(**message)
        elif "strike" in message and message["strike"] in self.armed_faults:
            self._spawn(self._strike(self.armed_faults.pop(message["strike"])))
        elif "sent" in message:
            self.pace_by_load[child.name] = message

    async def _schedule_fault(self, number: int, fault: Fault) -> None:
        await asyncio.sleep(max(self.record.start / SECOND + fault.at - time.monotonic(), 0))
        if fault.counted is not None:
            self.armed_faults[number] = fault
            self.standins.send(arm=number, what=fault.counted.value, nth=fault.nth)
        else:
            await self._strike(fault)

    async def _strike(self, fault: Fault) -> None:
        fronts = fault.kind in ON_FRONTS or fault.kind in ON_PATHS
        self.record.marks.append((time.monotonic_ns(), fault.kind.value, fronts))
        if fault.kind is FaultKind.RUSH:
            self._send_to_loads(rush=fault.size)
            await asyncio.sleep(fault.lasts)
            self._send_to_loads(rush=1.0)
        elif not fronts:
            self.standins.send(strike=fault)
        else:
            count = min(max(round(fault.part * len(self.fronts)), 1), len(self.fronts))
            struck = sorted(self.random.sample(range(len(self.fronts)), count))
            if fault.settled:
                await self._wait_until_serving([self.fronts[n] for n in struck])
            if fault.kind in ON_PATHS:
                await self._strike_path(fault, struck)
            else:
                await self._strike_fronts(fault, [self.fronts[n] for n in struck])
        self.unfinished_settled_faults -= fault.settled

    async def _wait_until_serving(self, fronts: list[FrontProcess]) -> None:
        """Wait until the fronts serve after the previous fault, at most for the start timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FRONT_START_TIMEOUT_S):
                for front in fronts:
                    await front.is_back.wait()

    async def _strike_path(self, fault: Fault, struck: list[int]) -> None:
        message = {"kind": fault.kind.value, "path": fault.path.value, "way": fault.way.value,
                   "fronts": struck, "size": fault.size}  # fmt: skip
        relay_process = self.relays[fault.path.value]
        relay_process.send(**message, heal=False)
        await asyncio.sleep(fault.lasts)
        relay_process.send(**message, heal=True)
        self.record.returns.append(time.monotonic_ns())

    async def _strike_fronts(self, fault: Fault, struck: list[FrontProcess]) -> None:
        if fault.kind is FaultKind.KILL:
            for front in struck:  # all at once, before any of them restarts
                front.kill()
            await asyncio.gather(*(self._restart_after_kill(front, fault) for front in struck))
        elif fault.kind in (FaultKind.TERM, FaultKind.ROLL):
            interval_s = fault.lasts / len(struck) if fault.kind is FaultKind.ROLL else 0.0
            await asyncio.gather(
                *(self._restart_after_term(front, fault, n * interval_s) for n, front in enumerate(struck))
            )
        elif fault.kind is FaultKind.RELOAD:
            await asyncio.gather(*(self._reload(front, fault) for front in struck))
        elif fault.kind is FaultKind.SIGNALS:
            await asyncio.gather(*(play_series(front, fault, self.random) for front in struck))
        elif fault.kind is FaultKind.CROWD:
            for front in struck:
                self.loads[0].send(crowd=front.number, count=int(fault.size), lasts=fault.lasts)
            await asyncio.sleep(fault.lasts)
            self.record.returns.append(time.monotonic_ns())
        elif fault.kind is FaultKind.PAUSE:
            await asyncio.gather(*(self._pause(front, fault.lasts) for front in struck))
            self.record.returns.append(time.monotonic_ns())
        else:
            until = time.monotonic() + fault.lasts

            async def starve(front: FrontProcess) -> None:
                while time.monotonic() < until:
                    await self._pause(front, fault.size / 1000)
                    await asyncio.sleep(fault.size / 1000)

            await asyncio.gather(*map(starve, struck))
            self.record.returns.append(time.monotonic_ns())

    async def _restart_after_kill(self, front: FrontProcess, fault: Fault) -> None:
        """Keep a killed front down, apply the disk fault to its state folder, then restart it."""
        noticed_after_s = min(self.experiment.fleet.noticed_s, max(fault.lasts, 0.0))
        starts_before = front.starts
        if front.process is not None:
            await front.process.wait()
        await asyncio.sleep(noticed_after_s)
        self._spawn(self._hide_from_clients(front, self.experiment.fleet.noticed_s - noticed_after_s))
        await asyncio.sleep(max(fault.lasts - noticed_after_s, 0.0))
        disk.apply_fault(front.state, fault.state, front.initial_state_files, self.random)
        if front.starts == starts_before:
            await front.start()

    async def _hide_from_clients(self, front: FrontProcess, wait: float) -> None:
        await asyncio.sleep(wait)
        if not front.is_serving:
            for child in self.loads:
                child.send(hide=front.number)

    async def _restart_after_term(self, front: FrontProcess, fault: Fault, wait: float) -> None:
        await asyncio.sleep(wait)
        starts_before = front.starts
        await front.term()
        await asyncio.sleep(fault.lasts if fault.kind is FaultKind.TERM else 0.0)
        disk.apply_fault(front.state, fault.state, front.initial_state_files, self.random)
        if front.starts == starts_before:
            await front.start()

    async def _reload(self, front: FrontProcess, fault: Fault) -> None:
        for _ in range(max(int(fault.size), 1)):
            front.signal(signal.SIGHUP)
            await asyncio.sleep(fault.lasts / max(fault.size, 1))

    async def _pause(self, front: FrontProcess, lasts: float) -> None:
        since = time.monotonic_ns()
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        front.signal(signal.SIGCONT)
        self.record.pauses.append((front.number, since, time.monotonic_ns()))

    # The end

    def record_usage(self, kind: str, pid: int) -> None:
        """Record the CPU time and peak memory of a running process from /proc."""
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            lines = dict(
                line.split(":", 1)
                for line in Path(f"/proc/{pid}/status").read_text().splitlines()
                if ":" in line
            )
        except OSError:
            return
        cpu = (int(fields[11]) + int(fields[12])) * NS_PER_CLOCK_TICK / 1e9
        self.usage_by_kind.setdefault(kind, []).append(
            (cpu, int(lines.get("VmHWM", "0 kB").split()[0]) / 1024)
        )

    def _summarize_usage(self) -> dict[str, ProcessUsage]:
        return {
            name: ProcessUsage(
                len(used), round(sum(u[0] for u in used), 2), round(max(u[1] for u in used), 1)
            )
            for name, used in self.usage_by_kind.items()
        }

    async def _stop(self) -> None:
        for task in list(self.tasks):  # faults that are not over by the end of the run
            task.cancel()
        for front in self.fronts:
            front.signal(signal.SIGCONT)
        for child in (self.standins, *self.relays.values(), *self.loads):
            if child.process is not None:
                self.record_usage(child.name.split("-")[0], child.process.pid)
        if not self.void:
            await asyncio.gather(*(front.term() for front in self.fronts))
        for child in (*self.loads, self.standins, *self.relays.values()):
            await child.end()

    async def _end(self) -> None:
        """Kill the processes that still run, and release ports and folder, however the run went."""
        for task in list(self.tasks):
            task.cancel()
        waits: list[Awaitable[Any]] = []
        for front in self.fronts:
            front.is_exit_expected = True
            if front.is_alive and front.process is not None:
                front.process.kill()
                waits.append(front.process.wait())
            for task in list(front.tasks):
                task.cancel()
        standins_process = [self.standins] if hasattr(self, "standins") else []
        for child in (*self.loads, *self.relays.values(), *standins_process):
            if child.process is not None and child.process.returncode is None:
                waits.append(child.end())
            for task in child.tasks:
                task.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
        if self.port_block is not None:
            self.port_block.close()
        if self.keep is None:
            shutil.rmtree(self.folder, ignore_errors=True)

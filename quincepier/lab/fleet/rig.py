"""The rig: starts a fleet of processes and all around it, strikes as the experiment says, ends it all.

Fronts run as in service; they reach everything through the relays alone. The rig decides when each fault
falls, by time or by a counted event, and keeps the story of it for the evidence.
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
from quincepier.lab.fleet.evidence import Evidence, FleetRun, Part, Story
from quincepier.lab.fleet.ports import Ports
from quincepier.lab.fleet.processes import ROOT, START_WITHIN, Child, FrontProcess, RigError
from quincepier.lab.fleet.settling import sections
from quincepier.lab.fleet.setup import settings
from quincepier.lab.fleet.signal_series import play_series

SERVE = (sys.executable, "-O", "-m", "quincepier", "serve")
RATE_EACH = 600.0  # arrivals a second for each load process
TICKS = 1e9 / os.sysconf("SC_CLK_TCK")
SPARE_FILES = 200  # descriptors beside the listeners and connections


class Rig:
    """One run. `command` gives the words that start a front, `operators` its operators' file, if any."""

    def __init__(
        self,
        path: str,
        experiment: Experiment,
        variant: Variant,
        seed: int,
        *,
        checkout: str | None = None,
        command: Callable[[int], Sequence[str]] = lambda front: SERVE,
        operators: Callable[[int, Rig], str] | None = None,
        keep: str | None = None,
        progress: Callable[[float], None] = lambda share: None,
    ) -> None:
        self.path, self.experiment, self.variant, self.seed = path, experiment, variant, seed
        self.checkout, self.command, self.operators = checkout or str(ROOT), command, operators
        self.keep, self.progress = keep, progress
        self.random = random.Random(f"{seed} {experiment.name} rig")
        self.story, self.void = Story(), ""
        self.story.allows_second_copies = bool(variant.settings.get("second_copies", True))
        self.fronts: list[FrontProcess] = []
        self.loads: list[Child] = []
        self.events: list[dict[str, Any]] = []
        self.ports: dict[str, int] = {}
        self.claimed: Ports | None = None
        self.port = self.peer_port = 0  # of all fronts: for clients, for each other
        self.used: dict[str, list[tuple[float, float]]] = {}
        self.unfinished = 0  # settled faults that are not over: the run goes on
        self.waiting: dict[int, Fault] = {}  # faults that wait for a counted event
        self.pace: dict[str, dict[str, int]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.relays: dict[str, Child] = {}  # by path

    async def play(self) -> FleetRun:
        """Raises RigError where it can't be set up, OperatorError or ValueError for what can't be told."""
        for zone in range(self.experiment.fleet.zones):
            settings(self.experiment, zone, self.variant)
        self.broken = asyncio.Event()
        self._room()
        self.folder = self._folder()
        try:
            await self._start()
            await self._run()
            await self._stop()
            run = Evidence(self.experiment, self.story, self.folder).run(
                self.variant.name, self.seed, self.void, self._parts()
            )
        finally:
            await self._end()
        return run

    # Set up

    def _room(self) -> None:
        """A fleet whose descriptors do not fit is refused before anything is started."""
        fleet = self.experiment.fleet
        pairs = fleet.fronts * (fleet.caches + fleet.parents + 3)
        wanted = 3 * pairs + SPARE_FILES + (2 * fleet.fronts**2 if self._peers() else 0)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < wanted <= hard:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        elif hard < wanted:
            raise RigError(f"{wanted} descriptors are wanted for so many pairs, {hard} are allowed")

    def settling(self, front: int) -> str:
        """The operators' file of a front that settles things with the others, "" where none does."""
        plan, ports = self.experiment, (self.peer_port, self.ports.get("peers", 0))
        if not plan.voters:
            return ""
        return sections(front, plan.fleet.fronts, plan.voters, *ports, str(self.folder)) + plan.wishes

    def _peers(self) -> bool:
        faults = any(f.path is NetPath.PEERS for f in self.experiment.faults)
        return faults or self.operators is not None or self.experiment.voters > 0

    def _folder(self) -> Path:
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
        fleet, place = self.experiment.fleet, str(Path(self.path).resolve())
        wall = time.time_ns() - time.monotonic_ns()
        self.standins = Child("standins", self)
        plan = standins.Plan(str(self.folder), place, self.seed, wall)
        words = await self.standins.start(standins.__name__, plan)
        self.events = words["events"]
        try:
            mine = self.claimed = Ports()
        except OSError as error:
            raise RigError(str(error)) from None
        self.port, self.peer_port = mine.take(), mine.take()
        machines = fleet.caches + fleet.parents + 1
        for path in (relay.CLIENTS, relay.CACHES, relay.LOG, *([relay.PEERS] if self._peers() else [])):
            one = self.relays[path] = Child(f"relay-{path}", self)
            self.ports[path] = mine.take()
            sweeps = self.keep is None and path == relay.CLIENTS
            net = relay.Plan(
                str(self.folder), sweeps, self.seed, fleet.fronts, machines, words["machines"],
                words["log"], self.port, {path: self.ports[path]}, self.peer_port,
            )  # fmt: skip
            await one.start(relay.__name__, net)
        self.standins.say(ports=self.ports)
        self.fronts = [FrontProcess(self, n) for n in range(fleet.fronts)]
        for front in self.fronts:
            front.prepare()
        await asyncio.gather(*(front.start() for front in self.fronts))
        if bad := [f.number for f in self.fronts if not f.serving]:
            log = self.fronts[bad[0]].folder / "log"
            lines = log.read_text(errors="replace").strip().splitlines() if log.exists() else []
            raise RigError(f"front {bad[0]} does not start: {lines[-1] if lines else 'it says nothing'}")
        for front in self.fronts:
            front.first = disk.read(front.state)
        count = max(1, math.ceil(self.experiment.load.rate / RATE_EACH))
        self.loads = [Child(f"load-{n}", self) for n in range(count)]
        for n, one in enumerate(self.loads):
            share = load.Plan(str(self.folder), place, self.seed, count, n, self.ports["clients"])
            await one.start(load.__name__, share)

    # The run

    async def _run(self) -> None:
        seconds = self.experiment.seconds
        self.story.start = time.monotonic_ns() + SECOND // 5
        self.story.returns.clear()
        self.unfinished = sum(fault.settled for fault in self.experiment.faults)
        self._say_to_loads(begin=self.story.start)
        for n, fault in enumerate(self.experiment.faults):
            self._spawn(self._await(n, fault))
        longest = self.experiment.longest_deadline_s + 1.0
        while not self.broken.is_set():
            spent = (time.monotonic_ns() - self.story.start) / SECOND
            self.progress(min(max(spent / (seconds + longest), 0.0), 1.0))
            if spent >= seconds and not self.unfinished:
                self._say_to_loads(pace=True)
                if spent >= seconds + longest or (
                    self.pace and not any(p["open"] for p in self.pace.values())
                ):
                    break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.broken.wait(), 0.2)
        self._say_to_loads(pace=True)
        await asyncio.sleep(0.2)
        self.progress(1.0)
        sent, behind = (sum(p[key] for p in self.pace.values()) for key in ("sent", "behind"))
        if behind > load.BEHIND_PART * max(sent, 1):
            self.void = self.void or f"the load can't keep its pace: {behind} of {sent} arrivals were late"

    def _say_to_loads(self, **words: Any) -> None:
        for one in self.loads:
            one.say(**words)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                self.void = self.void or f"the rig failed: {type(error).__name__}: {error}"
                self.broken.set()

        task.add_done_callback(done)

    def reach(self, front: int, how: str, paths: tuple[str, ...] = (relay.CLIENTS, relay.PEERS)) -> None:
        """A front is there or not: the paths that lead to it are told."""
        for path in paths:
            if path in self.relays:
                self.relays[path].say(live=path, other=front, how=how)

    def heard(self, one: Child, words: dict[str, Any]) -> None:
        if "event" in words:
            self.events.append(words["event"])
        elif "live" in words or "machines" in words:
            self.relays[relay.CACHES].say(**words)
        elif "strike" in words and words["strike"] in self.waiting:
            self._spawn(self._strike(self.waiting.pop(words["strike"])))
        elif "sent" in words:
            self.pace[one.name] = words

    async def _await(self, number: int, fault: Fault) -> None:
        await asyncio.sleep(max(self.story.start / SECOND + fault.at - time.monotonic(), 0))
        if fault.counted is not None:
            self.waiting[number] = fault
            self.standins.say(arm=number, what=fault.counted.value, nth=fault.nth)
        else:
            await self._strike(fault)

    async def _strike(self, fault: Fault) -> None:
        fronts = fault.kind in ON_FRONTS or fault.kind in ON_PATHS
        self.story.marks.append((time.monotonic_ns(), fault.kind.value, fronts))
        if fault.kind is FaultKind.RUSH:
            self._say_to_loads(rush=fault.size)
            await asyncio.sleep(fault.lasts)
            self._say_to_loads(rush=1.0)
        elif not fronts:
            self.standins.say(strike=fault)
        else:
            count = min(max(round(fault.part * len(self.fronts)), 1), len(self.fronts))
            struck = sorted(self.random.sample(range(len(self.fronts)), count))
            if fault.settled:
                await self._until_serving([self.fronts[n] for n in struck])
            if fault.kind in ON_PATHS:
                await self._on_path(fault, struck)
            else:
                await self._on_fronts(fault, [self.fronts[n] for n in struck])
        self.unfinished -= fault.settled

    async def _until_serving(self, fronts: list[FrontProcess]) -> None:
        """Until they are back from the strike before, for as long as a start may take."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WITHIN):
                for front in fronts:
                    await front.is_back.wait()

    async def _on_path(self, fault: Fault, struck: list[int]) -> None:
        words = {"kind": fault.kind.value, "path": fault.path.value, "way": fault.way.value, "fronts": struck,
                 "size": fault.size}  # fmt: skip
        net = self.relays[fault.path.value]
        net.say(**words, heal=False)
        await asyncio.sleep(fault.lasts)
        net.say(**words, heal=True)
        self.story.returns.append(time.monotonic_ns())

    async def _on_fronts(self, fault: Fault, struck: list[FrontProcess]) -> None:
        if fault.kind is FaultKind.KILL:
            for front in struck:  # all at once, then what follows
                front.kill()
            await asyncio.gather(*(self._again(front, fault) for front in struck))
        elif fault.kind in (FaultKind.TERM, FaultKind.ROLL):
            apart = fault.lasts / len(struck) if fault.kind is FaultKind.ROLL else 0.0
            await asyncio.gather(*(self._term(front, fault, n * apart) for n, front in enumerate(struck)))
        elif fault.kind is FaultKind.RELOAD:
            await asyncio.gather(*(self._reload(front, fault) for front in struck))
        elif fault.kind is FaultKind.SIGNALS:
            await asyncio.gather(*(play_series(front, fault, self.random) for front in struck))
        elif fault.kind is FaultKind.CROWD:
            for front in struck:
                self.loads[0].say(crowd=front.number, count=int(fault.size), lasts=fault.lasts)
            await asyncio.sleep(fault.lasts)
            self.story.returns.append(time.monotonic_ns())
        elif fault.kind is FaultKind.PAUSE:
            await asyncio.gather(*(self._pause(front, fault.lasts) for front in struck))
            self.story.returns.append(time.monotonic_ns())
        else:
            until = time.monotonic() + fault.lasts

            async def starve(front: FrontProcess) -> None:
                while time.monotonic() < until:
                    await self._pause(front, fault.size / 1000)
                    await asyncio.sleep(fault.size / 1000)

            await asyncio.gather(*map(starve, struck))
            self.story.returns.append(time.monotonic_ns())

    async def _again(self, front: FrontProcess, fault: Fault) -> None:
        """Down for a while, its folder of state struck meanwhile, then started anew."""
        noticed = min(self.experiment.fleet.noticed_s, max(fault.lasts, 0.0))
        starts = front.starts
        if front.process is not None:
            await front.process.wait()
        await asyncio.sleep(noticed)
        self._spawn(self._hide(front, self.experiment.fleet.noticed_s - noticed))
        await asyncio.sleep(max(fault.lasts - noticed, 0.0))
        disk.strike(front.state, fault.state, front.first, self.random)
        if front.starts == starts:
            await front.start()

    async def _hide(self, front: FrontProcess, wait: float) -> None:
        await asyncio.sleep(wait)
        if not front.serving:
            for one in self.loads:
                one.say(hide=front.number)

    async def _term(self, front: FrontProcess, fault: Fault, wait: float) -> None:
        await asyncio.sleep(wait)
        starts = front.starts
        await front.term()
        await asyncio.sleep(fault.lasts if fault.kind is FaultKind.TERM else 0.0)
        disk.strike(front.state, fault.state, front.first, self.random)
        if front.starts == starts:
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
        self.story.stops.append((front.number, since, time.monotonic_ns()))

    # The end

    def use(self, part: str, pid: int) -> None:
        """Note what a process has used, while it is there to be asked."""
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            lines = dict(
                line.split(":", 1)
                for line in Path(f"/proc/{pid}/status").read_text().splitlines()
                if ":" in line
            )
        except OSError:
            return
        cpu = (int(fields[11]) + int(fields[12])) * TICKS / 1e9
        self.used.setdefault(part, []).append((cpu, int(lines.get("VmHWM", "0 kB").split()[0]) / 1024))

    def _parts(self) -> dict[str, Part]:
        return {
            name: Part(len(used), round(sum(u[0] for u in used), 2), round(max(u[1] for u in used), 1))
            for name, used in self.used.items()
        }

    async def _stop(self) -> None:
        for task in list(self.tasks):  # faults that last past the end
            task.cancel()
        for front in self.fronts:
            front.signal(signal.SIGCONT)
        for one in (self.standins, *self.relays.values(), *self.loads):
            if one.process is not None:
                self.use(one.name.split("-")[0], one.process.pid)
        if not self.void:
            await asyncio.gather(*(front.term() for front in self.fronts))
        for one in (*self.loads, self.standins, *self.relays.values()):
            await one.end()

    async def _end(self) -> None:
        """Whatever happened before: nothing is left."""
        for task in list(self.tasks):
            task.cancel()
        waits: list[Awaitable[Any]] = []
        for front in self.fronts:
            front.expected = True
            if front.alive and front.process is not None:
                front.process.kill()
                waits.append(front.process.wait())
            for task in list(front.tasks):
                task.cancel()
        stands = [self.standins] if hasattr(self, "standins") else []
        for one in (*self.loads, *self.relays.values(), *stands):
            if one.process is not None and one.process.returncode is None:
                waits.append(one.end())
            for task in one.tasks:
                task.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
        if self.claimed is not None:
            self.claimed.close()
        if self.keep is None:
            shutil.rmtree(self.folder, ignore_errors=True)

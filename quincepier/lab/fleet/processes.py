"""The processes of a run as the rig holds them: its own, with lines, and fronts with their starts."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import struct
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

import quincepier
from quincepier.config import SettingsError
from quincepier.lab.experiment import SECOND
from quincepier.lab.fleet import child, load, relay, standins
from quincepier.lab.fleet.places import front_address, pair_address
from quincepier.lab.fleet.setup import configuration

if TYPE_CHECKING:  # the rig makes them
    from quincepier.lab.fleet.rig import Rig

ROOT = Path(quincepier.__file__).parent.parent
START_WITHIN, END_WITHIN, CHILD_WITHIN = 90.0, 15.0, 60.0  # seconds; past them it has failed
LEAVES = 0.3  # seconds from SIGTERM until clients come to that front no more
NEW_UNTIL = (
    0.2,
    0.4,
)  # seconds from SIGTERM for which new connections keep coming (protocol page, "Figures")
KILL_AFTER, KILL_DEADLINE_MOST = (
    0.7,
    3.0,
)  # seconds: SIGKILL comes so long after the longest deadline, or after
# this where that is longer, and no sooner (the same)
BEFORE_HANDLERS = (0, -signal.SIGTERM, -signal.SIGINT)  # how one may end that does not serve yet
CLAIM = "full service after"


class RigError(SettingsError):
    """The rig can't be set up here: what is in the way, in a line."""

    code = "QP-RIG"
    remedy = "make room for it on this machine (descriptors, ports, cores), or play fewer fronts"


class Child:
    """A process of the rig's own, with its two lines of words."""

    def __init__(self, name: str, rig: Rig) -> None:
        self.name, self.rig = name, rig
        self.process: asyncio.subprocess.Process | None = None
        self.ready: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.heard: dict[str, Any] = {}
        self.ending = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, module: str, plan: msgspec.Struct) -> dict[str, Any]:
        path = self.rig.folder / f"plan-{self.name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        log = (self.rig.folder / f"log-{self.name}").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, str(path), cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, stderr=log, limit=1 << 24, start_new_session=True,
        )  # fmt: skip
        log.close()
        self.tasks = [asyncio.create_task(self._listen()), asyncio.create_task(self._watch())]
        async with asyncio.timeout(CHILD_WITHIN):
            words = await self.ready
        if "fault" in words:
            raise RigError(words["fault"])
        return words

    async def _listen(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            words = msgspec.json.decode(line)
            if not self.ready.done():
                self.ready.set_result(words)
            else:
                self.rig.heard(self, words)

    async def _watch(self) -> None:
        assert self.process is not None
        code = await self.process.wait()
        if not self.ready.done():
            tail = (self.rig.folder / f"log-{self.name}").read_text(errors="replace").strip().splitlines()
            self.ready.set_result({"fault": f"{self.name} ended with {code}: {tail[-1] if tail else ''}"})
        if not self.ending:
            self.rig.void = self.rig.void or f"{self.name} ended by itself with {code}"
            self.rig.broken.set()

    def say(self, **words: Any) -> None:
        if self.process is not None and self.process.stdin is not None and self.process.returncode is None:
            with contextlib.suppress(ConnectionError):
                self.process.stdin.write(msgspec.json.encode(words) + b"\n")

    async def end(self) -> None:
        self.ending = True
        self.say(end=True)
        if self.process is not None:
            try:
                async with asyncio.timeout(END_WITHIN):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for task in self.tasks:
            task.cancel()


class FrontProcess:
    """One front, over all its starts."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number = rig, number
        self.folder = rig.folder / f"front-{number}"
        self.state = self.folder / "state"
        self.process: asyncio.subprocess.Process | None = None
        self.serving: bool = False
        self.is_launching = False
        self.is_back = asyncio.Event()  # set while it serves
        self.expected: bool = False
        self.starts: int = 0
        self.since: int = 0
        self.launched_at: int = 0
        self.killed = False  # by the rig, as a fault
        self.why = ""  # why it is away: `kill` or `term`
        self.tasks: set[asyncio.Task[None]] = set()
        self.configuration: Path = self.folder / "config.json"
        self.first_configuration: dict[str, Any] = {}  # as it was started
        self.first: dict[str, bytes] = {}  # its folder of state as the run began
        self.told: Path | None = None  # its operators' file

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def prepare(self) -> None:
        self.state.mkdir(parents=True)
        rig = self.rig
        text = rig.operators(self.number, rig) if rig.operators else rig.settling(self.number)
        if every := rig.experiment.state_write_interval_s(rig.variant, self.number):
            text += f"\nstate: {{folder: {self.state}, every_s: {every}}}\n"
        self.told = self.folder / "operator.yaml" if text else None
        if self.told is not None:
            self.told.write_text(text)

    async def start(self) -> None:
        """Start its process and wait until it serves."""
        await self.launch()
        await self.until_serving()

    async def launch(self) -> None:
        """Start its process, unless there is one: two faults may start a front anew at the same time."""
        if self.is_launching or self.alive:
            return
        self.is_launching = True
        try:
            await self._launch()
        finally:
            self.is_launching = False

    async def _launch(self) -> None:
        rig = self.rig
        events = [standins.placed(event, self.number, rig.ports["caches"]) for event in rig.events]
        config = configuration(
            rig.experiment, rig.variant, rig.seed, self.number, f"{front_address(self.number)}:{rig.port}",
            f"{pair_address(self.number, 0)}:{rig.ports['log']}", events,
        )  # fmt: skip
        self.first_configuration, path = config, self.configuration
        path.write_bytes(msgspec.json.encode(config))
        command = [*rig.command(self.number), "--config", str(path)]
        if self.told is not None:
            command += ["--operator", str(self.told)]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        self.launched_at = time.monotonic_ns()
        self.starts, self.expected, self.killed, self.why = self.starts + 1, False, False, ""
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=rig.checkout, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE, preexec_fn=child.dies_with_parent,
        )  # fmt: skip
        rig.reach(self.number, "open", (relay.PEERS,))  # a front may ask others before it serves
        rig.story.starts.append((self.launched_at, self.number, len(events)))
        self.spawn(self._log(self.process))
        self.spawn(self._watch(self.process))

    async def until_serving(self) -> None:
        """Until `/ping` is answered with 200 on its own address, or it has ended."""
        rig, began = self.rig, self.launched_at
        address = front_address(self.number), rig.port
        while not await ping(address):
            if not self.alive:
                return
            if time.monotonic_ns() - began > START_WITHIN * SECOND:
                rig.story.crashes.append((self.number, "did not serve"))
                return
            await asyncio.sleep(0.02)
        self.serving = True
        self.is_back.set()
        rig.story.took.append((time.monotonic_ns() - began) / SECOND)
        rig.reach(self.number, "open")
        for one in rig.loads:
            one.say(show=self.number)
        if self.since:
            now = time.monotonic_ns()
            rig.story.downs.append((self.number, self.since, now, self.why))
            rig.story.returns.append(now)
            self.since = 0

    def spawn(self, work: Any) -> None:
        """Run it beside the others; it ends with the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.folder / "log").open("ab") as file:
            while line := await process.stderr.readline():
                file.write(line)
                file.flush()
                if CLAIM.encode() in line:
                    self.rig.story.claims.append((time.monotonic_ns(), self.number))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.serving = False
        self.is_back.clear()
        if not self.expected:
            self.rig.story.crashes.append((self.number, f"ended by itself with {code}"))

    def kill(self) -> None:
        if self.alive and self.process is not None:
            self.rig.use("fronts", self.process.pid)
            self.expected, self.since, self.killed = True, self.since or time.monotonic_ns(), True
            self.why = "kill"
            self.process.kill()
        self._gone()

    def _gone(self) -> None:
        self.serving = False
        self.is_back.clear()
        self.rig.reach(self.number, "refused")

    async def term(self, number: signal.Signals = signal.SIGTERM) -> None:
        """SIGTERM, or SIGINT, and until it has ended."""
        if not self.alive or self.process is None:
            return
        self.rig.use("fronts", self.process.pid)
        self.expected = True
        if self.rig.experiment.load.stays and self.serving:
            await self._term_under_clients(self.process, number)
            return
        self.rig.story.terms.append((self.number, time.monotonic_ns()))
        self.process.send_signal(number)
        await asyncio.sleep(LEAVES)
        for one in self.rig.loads:
            one.say(hide=self.number)
        try:
            async with asyncio.timeout(END_WITHIN):
                code = await self.process.wait()
            early = not self.serving and code in BEFORE_HANDLERS
            if code and not early and not (self.killed and code == -signal.SIGKILL):
                self.rig.story.crashes.append((self.number, f"ended with {code} after SIGTERM"))
        except TimeoutError:
            self.rig.story.crashes.append((self.number, "did not end after SIGTERM"))
            self.process.kill()
        self.since, self.why = self.since or time.monotonic_ns(), self.why or "kill"
        self._gone()

    async def _term_under_clients(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        """Clients go on using open connections, and SIGKILL comes as early as the page allows."""
        rig = self.rig
        deadline = rig.experiment.longest_deadline_s
        process.send_signal(number)
        new_until = rig.random.uniform(*NEW_UNTIL)
        await asyncio.sleep(new_until)
        for one in rig.loads:
            one.say(leaving=self.number)
        wait = min(deadline, KILL_DEADLINE_MOST) + KILL_AFTER - new_until
        try:
            async with asyncio.timeout(wait):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            code = await process.wait()
        if code not in (0, -signal.SIGKILL):
            rig.story.crashes.append((self.number, f"ended with {code} after {number.name}"))
        self.since, self.why = self.since or time.monotonic_ns(), self.why or "term"
        for one in rig.loads:
            one.say(hide=self.number)
        self._gone()

    def signal(self, number: int) -> None:
        if self.alive and self.process is not None:
            self.process.send_signal(number)


async def ping(address: tuple[str, int]) -> bool:
    """Whether a front answers `/ping` with 200."""
    values = {"SCRIPT_NAME": "/ping"}
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(load.call(1, values))
                out = b""
                while True:
                    kind, size, padding = struct.unpack(">xBxxHBx", await reader.readexactly(8))
                    content = (await reader.readexactly(size + padding))[:size]
                    if kind == load.END:
                        return out.startswith(b"Status: 200")
                    out += content
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False

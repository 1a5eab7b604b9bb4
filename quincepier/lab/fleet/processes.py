"""Supervision of the processes of a run: the rig's own ones and the fronts with all their restarts."""

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
from quincepier.lab.fleet.loopback_addresses import front_address, pair_address
from quincepier.lab.fleet.setup import configuration

if TYPE_CHECKING:  # an import at run time would be circular
    from quincepier.lab.fleet.rig import Rig

ROOT = Path(quincepier.__file__).parent.parent
FRONT_START_TIMEOUT_S, EXIT_TIMEOUT_S, CHILD_START_TIMEOUT_S = 90.0, 15.0, 60.0
CLIENTS_LEAVE_AFTER_S = 0.3  # after SIGTERM, clients use other fronts
# Range of the time after SIGTERM in which clients still open connections (protocol page, "Figures").
NEW_CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)
# SIGKILL follows SIGTERM after the longest deadline, at most the second value, plus the first (same page).
KILL_MARGIN_S, KILL_MAX_DEADLINE_S = 0.7, 3.0
# Valid exit codes of a front that does not serve yet.
EXIT_CODES_BEFORE_SERVING = (0, -signal.SIGTERM, -signal.SIGINT)
FULL_SERVICE_LOG_TEXT = "full service after"


class RigError(SettingsError):
    """The rig can't be set up on this machine; the text gives the cause in one line."""

    code = "QP-RIG"
    remedy = "make room for it on this machine (descriptors, ports, cores), or play fewer fronts"


class Child:
    """A process of the rig itself; both sides exchange JSON lines over its standard input and output."""

    def __init__(self, name: str, rig: Rig) -> None:
        self.name, self.rig = name, rig
        self.process: asyncio.subprocess.Process | None = None
        self.ready: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.heard: dict[str, Any] = {}
        self.is_ending = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, module: str, plan: msgspec.Struct) -> dict[str, Any]:
        """Start a module as the process and return its first message; RigError if it fails."""
        path = self.rig.folder / f"plan-{self.name}.json"
        path.write_bytes(msgspec.json.encode(plan))
        log = (self.rig.folder / f"log-{self.name}").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, str(path), cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, stderr=log, limit=1 << 24, start_new_session=True,
        )  # fmt: skip
        log.close()
        self.tasks = [asyncio.create_task(self._read_messages()), asyncio.create_task(self._watch_exit())]
        async with asyncio.timeout(CHILD_START_TIMEOUT_S):
            message = await self.ready
        if "fault" in message:
            raise RigError(message["fault"])
        return message

    async def _read_messages(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            message = msgspec.json.decode(line)
            if not self.ready.done():
                self.ready.set_result(message)
            else:
                self.rig.on_message(self, message)

    async def _watch_exit(self) -> None:
        assert self.process is not None
        code = await self.process.wait()
        if not self.ready.done():
            tail = (self.rig.folder / f"log-{self.name}").read_text(errors="replace").strip().splitlines()
            self.ready.set_result({"fault": f"{self.name} ended with {code}: {tail[-1] if tail else ''}"})
        if not self.is_ending:
            self.rig.void = self.rig.void or f"{self.name} ended by itself with {code}"
            self.rig.broken.set()

    def send(self, **message: Any) -> None:
        """Send a command with these keys; does nothing if the process has ended."""
        if self.process is not None and self.process.stdin is not None and self.process.returncode is None:
            with contextlib.suppress(ConnectionError):
                self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def end(self) -> None:
        """Ask the process to end, and kill it after a timeout."""
        self.is_ending = True
        self.send(end=True)
        if self.process is not None:
            try:
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for task in self.tasks:
            task.cancel()


class FrontProcess:
    """One front over all its starts.

    Attributes:
        is_back: Set while the front serves.
        starts: Number of processes started so far.
        down_since: Monotonic nanoseconds since which the front is down, 0 if it is not.
        launched_at: Monotonic nanoseconds of its last start.
        is_exit_expected: Whether the rig itself ended the process.
        operators_file: Path of its operators' file, None if it has none.
    """

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number = rig, number
        self.folder = rig.folder / f"front-{number}"
        self.state = self.folder / "state"
        self.process: asyncio.subprocess.Process | None = None
        self.is_serving: bool = False
        self.is_launching = False
        self.is_back = asyncio.Event()
        self.is_exit_expected: bool = False
        self.starts: int = 0
        self.down_since: int = 0
        self.launched_at: int = 0
        self.was_killed = False  # with SIGKILL by the rig, as a fault
        self.down_reason = ""  # "kill" or "term"
        self.tasks: set[asyncio.Task[None]] = set()
        self.configuration: Path = self.folder / "config.json"
        self.first_configuration: dict[str, Any] = {}  # as of the last start
        self.initial_state_files: dict[str, bytes] = {}  # by path in the state folder, as the run began
        self.operators_file: Path | None = None

    @property
    def is_alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def prepare(self) -> None:
        """Create the front's folder and its operators' file."""
        self.state.mkdir(parents=True)
        rig = self.rig
        text = rig.operators(self.number, rig) if rig.operators else rig.operators_sections(self.number)
        if interval_s := rig.experiment.state_write_interval_s(rig.variant, self.number):
            text += f"\nstate: {{folder: {self.state}, every_s: {interval_s}}}\n"
        self.operators_file = self.folder / "operator.yaml" if text else None
        if self.operators_file is not None:
            self.operators_file.write_text(text)

    async def start(self) -> None:
        """Start the process and wait until the front serves."""
        await self.launch()
        await self.wait_until_serving()

    async def launch(self) -> None:
        """Start the process unless one runs: two faults may restart the same front at the same time."""
        if self.is_launching or self.is_alive:
            return
        self.is_launching = True
        try:
            await self._launch()
        finally:
            self.is_launching = False

    async def _launch(self) -> None:
        rig = self.rig
        events = [
            standins.with_front_addresses(event, self.number, rig.ports["caches"]) for event in rig.events
        ]
        config = configuration(
            rig.experiment, rig.variant, rig.seed, self.number,
            f"{front_address(self.number)}:{rig.front_port}",
            f"{pair_address(self.number, 0)}:{rig.ports['log']}", events,
        )  # fmt: skip
        self.first_configuration, path = config, self.configuration
        path.write_bytes(msgspec.json.encode(config))
        command = [*rig.command(self.number), "--config", str(path)]
        if self.operators_file is not None:
            command += ["--operator", str(self.operators_file)]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        self.launched_at = time.monotonic_ns()
        self.starts, self.is_exit_expected, self.was_killed, self.down_reason = (
            self.starts + 1,
            False,
            False,
            "",
        )
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=rig.checkout, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE, preexec_fn=child.dies_with_parent,
        )  # fmt: skip
        # A front contacts other fronts before it serves.
        rig.set_reachability(self.number, "open", (relay.PEERS,))
        rig.record.starts.append((self.launched_at, self.number, len(events)))
        self.spawn(self._copy_log(self.process))
        self.spawn(self._watch_exit(self.process))

    async def wait_until_serving(self) -> None:
        """Wait until `/ping` returns 200 on the front's own address, or the process has ended."""
        rig, began = self.rig, self.launched_at
        address = front_address(self.number), rig.front_port
        while not await ping(address):
            if not self.is_alive:
                return
            if time.monotonic_ns() - began > FRONT_START_TIMEOUT_S * SECOND:
                rig.record.crashes.append((self.number, "did not serve"))
                return
            await asyncio.sleep(0.02)
        self.is_serving = True
        self.is_back.set()
        rig.record.start_durations_s.append((time.monotonic_ns() - began) / SECOND)
        rig.set_reachability(self.number, "open")
        for load_process in rig.loads:
            load_process.send(show=self.number)
        if self.down_since:
            now = time.monotonic_ns()
            rig.record.downs.append((self.number, self.down_since, now, self.down_reason))
            rig.record.returns.append(now)
            self.down_since = 0

    def spawn(self, work: Any) -> None:
        """Run a coroutine as a task that is cancelled at the end of the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.folder / "log").open("ab") as file:
            while line := await process.stderr.readline():
                file.write(line)
                file.flush()
                if FULL_SERVICE_LOG_TEXT.encode() in line:
                    self.rig.record.claims.append((time.monotonic_ns(), self.number))

    async def _watch_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.is_serving = False
        self.is_back.clear()
        if not self.is_exit_expected:
            self.rig.record.crashes.append((self.number, f"ended by itself with {code}"))

    def kill(self) -> None:
        """Send SIGKILL and mark the front as down."""
        if self.is_alive and self.process is not None:
            self.rig.record_usage("fronts", self.process.pid)
            self.is_exit_expected, self.down_since, self.was_killed = (
                True,
                self.down_since or time.monotonic_ns(),
                True,
            )
            self.down_reason = "kill"
            self.process.kill()
        self._mark_down()

    def _mark_down(self) -> None:
        self.is_serving = False
        self.is_back.clear()
        self.rig.set_reachability(self.number, "refused")

    async def term(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send SIGTERM or SIGINT and wait for the end of the process; SIGKILL after a timeout."""
        if not self.is_alive or self.process is None:
            return
        self.rig.record_usage("fronts", self.process.pid)
        self.is_exit_expected = True
        if self.rig.experiment.load.stays and self.is_serving:
            await self._term_with_connected_clients(self.process, number)
            return
        self.rig.record.terms.append((self.number, time.monotonic_ns()))
        self.process.send_signal(number)
        await asyncio.sleep(CLIENTS_LEAVE_AFTER_S)
        for load_process in self.rig.loads:
            load_process.send(hide=self.number)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                code = await self.process.wait()
            ended_before_serving = not self.is_serving and code in EXIT_CODES_BEFORE_SERVING
            if code and not ended_before_serving and not (self.was_killed and code == -signal.SIGKILL):
                self.rig.record.crashes.append((self.number, f"ended with {code} after SIGTERM"))
        except TimeoutError:
            self.rig.record.crashes.append((self.number, "did not end after SIGTERM"))
            self.process.kill()
        self.down_since, self.down_reason = self.down_since or time.monotonic_ns(), self.down_reason or "kill"
        self._mark_down()

    async def _term_with_connected_clients(
        self, process: asyncio.subprocess.Process, number: signal.Signals
    ) -> None:
        """End a front whose clients keep using open connections; SIGKILL as early as the page allows."""
        rig = self.rig
        deadline = rig.experiment.longest_deadline_s
        process.send_signal(number)
        connections_end_s = rig.random.uniform(*NEW_CONNECTIONS_AFTER_TERM_S)
        await asyncio.sleep(connections_end_s)
        for load_process in rig.loads:
            load_process.send(leaving=self.number)
        wait = min(deadline, KILL_MAX_DEADLINE_S) + KILL_MARGIN_S - connections_end_s
        try:
            async with asyncio.timeout(wait):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            code = await process.wait()
        if code not in (0, -signal.SIGKILL):
            rig.record.crashes.append((self.number, f"ended with {code} after {number.name}"))
        self.down_since, self.down_reason = self.down_since or time.monotonic_ns(), self.down_reason or "term"
        for load_process in rig.loads:
            load_process.send(hide=self.number)
        self._mark_down()

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_alive and self.process is not None:
            self.process.send_signal(number)


async def ping(address: tuple[str, int]) -> bool:
    """Return whether a front responds to `/ping` with 200."""
    values = {"SCRIPT_NAME": "/ping"}
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(load.encode_request(1, values))
                stdout = b""
                while True:
                    kind, size, padding = struct.unpack(">xBxxHBx", await reader.readexactly(8))
                    content = (await reader.readexactly(size + padding))[:size]
                    if kind == load.END:
                        return stdout.startswith(b"Status: 200")
                    stdout += content
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False

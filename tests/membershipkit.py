"""A fleet of front processes with membership, for fault injection; their views are read from their logs."""

from __future__ import annotations

import asyncio
import datetime
import json
import signal
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from quincepier.lab.experiment import load
from quincepier.lab.fleet import relay
from quincepier.lab.fleet.loopback_addresses import front_address, pair_address
from quincepier.lab.fleet.rig import Rig

TEXT = """
name: members
seconds: 5
seeds: [1]
fleet: {{zones: 1, fronts: {fronts}, caches: 1, parents: 1}}
load: {{rate: 1}}
classes:
  - {{name: video, share: 1, send_ms: 40, wanted_ms: 600, deadline_ms: 2000}}
"""


class Change(NamedTuple):
    """A change of one front's view.

    Attributes:
        at: Unix time in seconds.
        front: The front's number.
        members: The number of members after the change.
        joined: Names of the added members.
        removed: Names of the removed members.
    """

    at: float
    front: int
    members: int
    joined: tuple[str, ...]
    removed: tuple[str, ...]


class FaultEffect(NamedTuple):
    """The effect of one fault on the views of the fronts that were not faulty."""

    wrong_removals: int  # of healthy members, summed over all views
    detection_s: tuple[float, ...]  # from the fault to each removal of a faulty front from a view
    changes: tuple[int, ...]  # number of view changes of each front
    recovery_s: float  # from the end of the fault until all views are complete


def operators_file(front: int, rig: Rig) -> str:
    """The operators' file of a front, which reaches the others through its own addresses at the relay."""
    count = rig.experiment.fleet.fronts
    own = f"n{front}: '{front_address(front)}:{rig.peer_port}'"
    others = [f"n{n}: '{pair_address(front, n)}:{rig.ports['peers']}'" for n in range(count) if n != front]
    fronts = ", ".join([own, *others])
    return f"log: {{format: json}}\nmembers: {{fleet: rig, fronts: {{{fronts}}}}}\n"


class Fleet(Rig):
    """A started fleet, into which the test injects faults."""

    def __init__(
        self, folder: Path, count: int, operators: Callable[[int, Rig], str] = operators_file
    ) -> None:
        path = folder / "members.yaml"
        path.write_text(TEXT.format(fronts=count))
        experiment = load(str(path))
        super().__init__(str(path), experiment, experiment.variants[0], 1, operators=operators)
        self.count = count

    async def __aenter__(self) -> Fleet:
        self._check_descriptor_limit()
        self.folder = self._make_folder()
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *about: object) -> None:
        await self._end()

    def log_records(self, event: str) -> list[tuple[float, int, dict[str, Any]]]:
        """Time, front and fields of the log records of an event, sorted by time."""
        records = []
        for front in self.fronts:
            for line in (front.folder / "log").read_text(errors="replace").splitlines():
                if f'"{event}"' in line and line.startswith("{") and line.endswith("}"):
                    record = json.loads(line)
                    at = datetime.datetime.fromisoformat(record["time"]).timestamp()
                    records.append((at, front.number, record["fields"]))
        return sorted(records, key=lambda record: record[:2])

    def changes(self, since: float = 0.0) -> list[Change]:
        def names(text: str) -> tuple[str, ...]:
            return () if text == "nobody" else tuple(text.split(", "))

        return [
            Change(at, front, f["members"], names(f["joined"]), names(f["removed"]))
            for at, front, f in self.log_records("view_changed")
            if at >= since
        ]

    def member_counts(self) -> list[int]:
        """The number of members in the view of each running front."""
        count_by_front = dict.fromkeys(range(self.count), 1)
        starts = self.log_records("member_listening")  # at first a view has only the front itself
        records = self.log_records("view_changed") + starts
        for _, front, fields in sorted(records, key=lambda record: record[0]):
            count_by_front[front] = fields.get("members", 1)
        return [count_by_front[front.number] for front in self.fronts if front.is_alive]

    async def wait_for_views(
        self, count: int, timeout_s: float, observers: Sequence[int] | None = None
    ) -> float:
        """Wait until all observers' views have `count` members; return the seconds waited.

        Raises:
            TimeoutError: The timeout has passed; the message has the counts.
        """
        began = time.monotonic()
        while True:
            counts = self.member_counts()
            if all(n == count for n in ([counts[i] for i in observers] if observers is not None else counts)):
                return time.monotonic() - began
            if time.monotonic() - began > timeout_s:
                raise TimeoutError(f"{count} members expected, in the views: {counts}")
            await asyncio.sleep(0.1)

    def set_fault(self, kind: str, fronts: Sequence[int], heal: bool = False, **more: Any) -> None:
        """Make the relay inject a fault into the paths of these fronts, or remove it."""
        fault: dict[str, Any] = {"kind": kind, "path": relay.PEERS, "way": "both", "size": 0.0}
        self.relays[relay.PEERS].send(**{**fault, **more}, fronts=list(fronts), heal=heal)

    async def measure_effect(
        self, inject: Callable[[], Any], faulty: Sequence[int] = (), timeout_s: float = 60.0
    ) -> FaultEffect:
        """Inject a temporary fault, wait for the views to recover, and return its effect.

        Args:
            inject: Injects the fault and returns when it has ended.
            faulty: Numbers of the fronts that are expected to be removed.
            timeout_s: The maximum recovery time.
        """
        since = time.time()
        await inject()
        recovery_s = await self.wait_for_views(self.count, timeout_s)
        await asyncio.sleep(3.0)  # long enough for pending suspicions to time out
        faulty_names = {f"n{n}" for n in faulty}
        observed = [change for change in self.changes(since) if change.front not in faulty]
        wrong_removals = sum(len(set(change.removed) - faulty_names) for change in observed)
        detection_s = tuple(
            change.at - since for change in observed for name in change.removed if name in faulty_names
        )
        counts = [sum(c.front == n for c in observed) for n in range(self.count) if n not in faulty]
        return FaultEffect(wrong_removals, detection_s, tuple(counts), recovery_s)

    async def pause(self, fronts: Sequence[int], duration_s: float) -> None:
        for n in fronts:
            self.fronts[n].signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        for n in fronts:
            self.fronts[n].signal(signal.SIGCONT)

    async def kill(self, fronts: Sequence[int], down_s: float) -> None:
        for n in fronts:
            self.fronts[n].kill()
        await asyncio.sleep(down_s)
        await asyncio.gather(*(self.fronts[n].start() for n in fronts))

    async def inject_path_fault(
        self, kind: str, fronts: Sequence[int], duration_s: float, **more: Any
    ) -> None:
        self.set_fault(kind, fronts, **more)
        await asyncio.sleep(duration_s)
        self.set_fault(kind, fronts, heal=True, **more)


def median(values: Sequence[float]) -> float:
    """The median; 0 for no values."""
    return statistics.median(values) if values else 0.0

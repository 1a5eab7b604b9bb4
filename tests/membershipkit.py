"""A fleet of processes that know each other, struck one fault after the other; views read from their logs."""

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

from quincepier.lab.experiment import Variant, load
from quincepier.lab.fleet import relay
from quincepier.lab.fleet.places import front_address, pair_address
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
    """A change of one front's view; `at` in seconds of Unix time."""

    at: float
    front: int
    members: int
    joined: tuple[str, ...]
    removed: tuple[str, ...]


class Struck(NamedTuple):
    """What one fault did: `wrong` is who was put out though nothing ailed it, over all views."""

    wrong: int
    known: tuple[float, ...]  # seconds until each other front had put out whom it should
    changes: tuple[int, ...]  # of the view, of each front that was not struck
    again: float  # seconds from the fault's end until all see all


def file_of(front: int, rig: Rig) -> str:
    """Its operators' file: the others by its own paths through the relay."""
    count = rig.experiment.fleet.fronts
    mine = f"n{front}: '{front_address(front)}:{rig.peer_port}'"
    others = [f"n{n}: '{pair_address(front, n)}:{rig.ports['peers']}'" for n in range(count) if n != front]
    book = ", ".join([mine, *others])
    return f"log: {{format: json}}\nmembers: {{fleet: rig, fronts: {{{book}}}}}\n"


class Fleet(Rig):
    """Started whole, then struck by the one who holds it."""

    def __init__(self, folder: Path, count: int, operators: Callable[[int, Rig], str] = file_of) -> None:
        path = folder / "members.yaml"
        path.write_text(TEXT.format(fronts=count))
        experiment = load(str(path))
        super().__init__(str(path), experiment, experiment.variants[0], 1, operators=operators)
        self.count, self.broken = count, asyncio.Event()

    async def __aenter__(self) -> Fleet:
        self._room()
        self.folder = self._folder()
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *about: object) -> None:
        await self._end()

    def logged(self, event: str) -> list[tuple[float, int, dict[str, Any]]]:
        found = []
        for front in self.fronts:
            for line in (front.folder / "log").read_text(errors="replace").splitlines():
                if f'"{event}"' in line and line.startswith("{") and line.endswith("}"):
                    record = json.loads(line)
                    at = datetime.datetime.fromisoformat(record["time"]).timestamp()
                    found.append((at, front.number, record["fields"]))
        return sorted(found, key=lambda one: one[:2])

    def changes(self, since: float = 0.0) -> list[Change]:
        def names(text: str) -> tuple[str, ...]:
            return () if text == "nobody" else tuple(text.split(", "))

        return [
            Change(at, front, f["members"], names(f["joined"]), names(f["removed"]))
            for at, front, f in self.logged("view_changed")
            if at >= since
        ]

    def views(self) -> list[int]:
        """How many each front that runs sees."""
        seen = dict.fromkeys(range(self.count), 1)
        told = self.logged("view_changed") + self.logged(
            "member_listening"
        )  # a start sees itself alone at first
        for _, front, fields in sorted(told, key=lambda one: one[0]):
            seen[front] = fields.get("members", 1)
        return [seen[front.number] for front in self.fronts if front.alive]

    async def see(self, count: int, within: float, of: Sequence[int] | None = None) -> float:
        """Seconds until all (or those) see so many; TimeoutError with the views."""
        began = time.monotonic()
        while True:
            seen = self.views()
            if all(n == count for n in ([seen[i] for i in of] if of is not None else seen)):
                return time.monotonic() - began
            if time.monotonic() - began > within:
                raise TimeoutError(f"{count} wanted, seen: {seen}")
            await asyncio.sleep(0.1)

    def fault(self, kind: str, fronts: Sequence[int], heal: bool = False, **more: Any) -> None:
        words: dict[str, Any] = {"kind": kind, "path": relay.PEERS, "way": "both", "size": 0.0}
        self.relays[relay.PEERS].say(**{**words, **more}, fronts=list(fronts), heal=heal)

    async def struck(
        self, ill: Sequence[int], work: Callable[[], Any], within: float = 60.0, ended: bool = False
    ) -> Struck:
        """`work` strikes and heals; `ill`: whom it is right to put out; `ended`: only those changes count."""
        since = time.time()
        await work()
        again = await self.see(self.count, within)
        await asyncio.sleep(3.0)  # accusations made now would come to their end
        bad, changes = {f"n{n}" for n in ill}, self.changes(since)
        healthy = [c for c in changes if c.front not in ill]
        wrong = sum(len(set(c.removed) - bad) for c in healthy)
        known = tuple(c.at - since for c in healthy for name in c.removed if name in bad)
        counts = [sum(c.front == n for c in healthy) for n in range(self.count) if n not in ill]
        return Struck(wrong, known, tuple(counts), again)

    async def pause(self, fronts: Sequence[int], lasts: float) -> None:
        for n in fronts:
            self.fronts[n].signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        for n in fronts:
            self.fronts[n].signal(signal.SIGCONT)

    async def kill(self, fronts: Sequence[int], down: float) -> None:
        for n in fronts:
            self.fronts[n].kill()
        await asyncio.sleep(down)
        await asyncio.gather(*(self.fronts[n].start() for n in fronts))

    async def path_for(self, kind: str, fronts: Sequence[int], lasts: float, **more: Any) -> None:
        self.fault(kind, fronts, **more)
        await asyncio.sleep(lasts)
        self.fault(kind, fronts, heal=True, **more)


def middle(values: Sequence[float]) -> float:
    return statistics.median(values) if values else 0.0


__all__ = ["Change", "Fleet", "Struck", "Variant", "file_of", "middle"]

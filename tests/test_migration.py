"""During a move some fronts run in the old shape and some in the new, before the same caches.

The judge sees what the caches and the clients saw, no more, and shares no code with the front.
"""

from __future__ import annotations

import asyncio
import copy
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest

from tests.frontkit import SETTINGS, host, raw_config
from tests.loopback import allocate_address
from tests.standins import Cache, ChangeLog, Client, Front, ReceivedCommand, until

MS = 1_000_000
OLD, NEW = 1, 2  # the first digit of a request's job id says which front's client asked
DRAINED, COLD = "s-2", "s-4"
PURGED = "00000000000000ff"
WORK_S, SIZE = 0.02, 30.0  # the stand-ins take so long for a request; a link's size as listed
RULES: dict[str, float] = {"cold_from": 0.02, "fall_multiple": 2.0, "warm_s": 600.0, "tip_s": 1.5}


def new_shape() -> dict[str, Any]:
    """Settings of the new deployments: no sizes, no reports, nothing straight, a keyed class, no advice."""
    made = copy.deepcopy(SETTINGS)
    made["weights"] = "off"
    made["report"] = {"fields": [], "how": "off"}
    made["family_info"] |= {"pass_through_ok": False, "client_kb_per_s": 0.0}
    made["limits"] |= {"retry_after": False, "probes": False, "try_limit": 6}
    made["services"][2] |= {"effect": "guarded", "window": 2000 * MS}
    return made


@dataclass(frozen=True)
class Served:
    """One `serve` command as a cache got it."""

    cache: str
    front: int
    cls: str
    key: str
    via: str
    fresh: int  # ms, 0: the class's own
    at: float


@dataclass
class Seen:
    served: list[Served] = field(default_factory=list)
    answers: dict[int, list[int]] = field(default_factory=lambda: {OLD: [], NEW: []})
    asked: Counter[int] = field(default_factory=Counter)
    told_drain: float = 0.0  # when both fronts had taken it
    purge: float = 0.0  # Unix seconds
    told_purge: float = 0.0
    started: float = 0.0  # when the cold machine did


def judge(seen: Seen) -> list[str]:
    """The rules and fairness, from what was seen; a line for each fault."""
    faults = []
    for s in seen.served:
        if DRAINED in (s.cache, s.via) and seen.told_drain and s.at > seen.told_drain:
            faults.append(f"drain: front {s.front} asked {s.cache} via {s.via}")
        old_copy = not s.fresh or s.fresh > (s.at - seen.purge) * 1000 + 1
        if s.key == PURGED and seen.told_purge and s.at > seen.told_purge and old_copy:
            faults.append(f"purge: front {s.front} takes a copy of {s.fresh} ms")
        if s.front == NEW and s.cache[0] != "s":
            faults.append(f"straight: front {s.front} asked {s.cache}")
    reached = sorted(s.at for s in seen.served if s.cache == COLD)
    for n, at in enumerate(reached):
        share = RULES["cold_from"] + (1 - RULES["cold_from"]) * (at - seen.started) / RULES["warm_s"]
        span = [later for later in reached[n:] if later < at + RULES["tip_s"]]
        if len(span) * WORK_S > RULES["fall_multiple"] * share * SIZE * RULES["tip_s"]:
            faults.append(f"cold: {len(span)} requests in a window")
            break
    for front, statuses in seen.answers.items():
        if len(statuses) != seen.asked[front]:
            faults.append(f"lost: front {front} answered {len(statuses)} of {seen.asked[front]}")
        others = max(statuses.count(200) for statuses in seen.answers.values())
        if statuses.count(200) < 0.8 * others:
            faults.append(f"starved: front {front} has {statuses.count(200)} served, another {others}")
    return faults


class Move:
    """Both fronts, each with a change log of its own, before the same caches."""

    def __init__(self, folder: Path) -> None:
        self.seen, self.folder = Seen(), folder
        names = ("s-1", DRAINED, "s-3", COLD, "p-1", "o-1")
        self.caches = {name: Cache(self.behaviour(name)) for name in names}
        self.fronts = {OLD: Front(folder / "old", self.caches), NEW: Front(folder / "new", self.caches)}
        self.clients: dict[int, Client] = {}

    def behaviour(self, name: str) -> Callable[[ReceivedCommand], None]:
        def behave(asked: ReceivedCommand) -> None:
            get = asked.fields.get
            front, fresh = int(asked.id[0]), int(get("fresh", "0"))
            served = Served(name, front, get("class", ""), get("key", ""), get("via", ""), fresh, time.time())
            self.seen.served.append(served)
            asyncio.get_running_loop().call_later(WORK_S, asked.respond_with_data)

        return behave

    async def start(self) -> None:
        for cache in self.caches.values():
            await cache.start()
        kinds = {"p": "parent", "o": "origin"}
        hosts = [host(n, c.address, kinds.get(n[0], "std")) for n, c in self.caches.items() if n != COLD]
        for number, front in self.fronts.items():
            front.folder.mkdir()
            await front.change_log.start()
            listed = copy.deepcopy(hosts)
            for entry in listed if number == NEW else []:
                del entry["share"]
            front.change_log.add_event(fleet={"seq": 0, "whole": True, "hosts": listed})
            settings = copy.deepcopy(SETTINGS) if number == OLD else new_shape()
            settings["replicas_of_me"], settings["family_info"]["seats_by_zone"] = 2, [0, 2]
            settings["rules"] |= {"cold_from": RULES["cold_from"], "fall_multiple": RULES["fall_multiple"]}
            settings["rules"] |= {"warm_within": int(RULES["warm_s"] * 1000) * MS}
            front.address = allocate_address()
            front.config = raw_config(
                listen="{}:{}".format(*front.address), changelog=front.change_log.address,
                known=front.change_log.make_snapshot(), settings=settings, name=f"n{number}",
            )  # fmt: skip
            await front.start()
            self.clients[number] = await front.connect_client()

    async def tell(self, **event: Any) -> None:
        """Both change logs say it; returns when both fronts have asked for what comes after it."""
        logs: list[ChangeLog] = [front.change_log for front in self.fronts.values()]
        last = [log.add_event(**event) for log in logs]
        await until(
            lambda: all(
                log.poll_positions and log.poll_positions[-1] >= n for log, n in zip(logs, last, strict=True)
            ),
            "told",
        )

    async def play(self, first: int, count: int, key: str = "") -> None:
        """As many requests at each front, eight open at a time."""

        async def one(number: int, request: int) -> None:
            item, cls = key or f"{request * 7919 % 40 + 1:016x}", ("lot-image", "lot-video")[request % 2]
            upload = request % 10 == 0 and not key  # never kept: straight to the origin where that may be
            self.clients[number].send_request(
                request, "bid" if upload else cls, b"offer" * upload,
                HTTP_X_JOB_ID=f"{number}{request:015x}", HTTP_X_ITEM=item, HTTP_X_N="0",
            )  # fmt: skip
            got = await self.clients[number].wait_for_response(request)
            self.seen.answers[number].append(got.status)

        for at in range(first, first + count, 8):
            batch = range(at, min(at + 8, first + count))
            for number in self.fronts:
                self.seen.asked[number] += len(batch)
            await asyncio.gather(*(one(number, r) for number in self.fronts for r in batch))

    async def stop(self) -> None:
        for front in self.fronts.values():
            await front.stop()


def test_fronts_of_both_shapes_before_the_same_caches(tmp_path: Path) -> None:
    async def run() -> Seen:
        move = Move(tmp_path)
        seen = move.seen
        try:
            await move.start()
            await move.play(1, 160)
            drained = host(DRAINED, move.caches[DRAINED].address, health="DRAINING")
            await move.tell(fleet={"seq": 1, "whole": False, "hosts": [drained]})
            seen.told_drain = time.time()
            seen.started = time.time()
            cold = host(COLD, move.caches[COLD].address, born_ms=int(seen.started * 1000))
            await move.tell(fleet={"seq": 2, "whole": False, "hosts": [cold]})
            await move.play(1001, 160)
            seen.purge = time.time()
            await move.tell(invalidate={"object": PURGED, "time": int(seen.purge * 1000)})
            seen.told_purge = time.time()
            await move.play(2001, 8, key=PURGED)
            await move.play(3001, 80)
        finally:
            await move.stop()
        return seen

    seen = asyncio.run(run())
    assert judge(seen) == []
    for number in (OLD, NEW):
        mine = [s for s in seen.served if s.front == number]
        assert {s.cache for s in mine} >= {"s-1", DRAINED, "s-3"} and any(s.key == PURGED for s in mine)
    assert any(s.via == "p-1" for s in seen.served if s.front == NEW)


GOOD = Served("s-1", NEW, "lot-image", "01", "p-1", 0, 10.0)


@pytest.mark.parametrize(
    ("broken", "fault"),
    [
        ([replace(GOOD, cache=DRAINED)], "drain"),
        ([replace(GOOD, via=DRAINED)], "drain"),
        ([replace(GOOD, key=PURGED)], "purge"),
        ([replace(GOOD, key=PURGED, fresh=9000)], "purge"),
        ([replace(GOOD, cache="p-1")], "straight"),
        ([replace(GOOD, cache=COLD)] * 200, "cold"),
    ],
)
def test_a_broken_front_is_named_by_the_judge(broken: list[Served], fault: str) -> None:
    seen = Seen(broken, told_drain=5.0, purge=4.0, told_purge=5.0, started=9.0)
    assert [line.partition(":")[0] for line in judge(seen)] == [fault] * len(judge(seen))
    assert judge(seen) and judge(replace(seen, served=[GOOD])) == []


def test_lost_and_starved_are_named_by_the_judge() -> None:
    seen = Seen(answers={OLD: [200] * 10, NEW: [200] * 5}, asked=Counter({OLD: 10, NEW: 6}))
    assert [line.partition(":")[0] for line in judge(seen)] == ["lost", "starved"]

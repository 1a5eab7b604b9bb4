"""During a migration, fronts with old and with new settings run before the same caches.

`find_violations` judges only by what the caches and the clients observed, and shares no code with the front.
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
OLD, NEW = 1, 2  # the first digit of a request's job id: the front that received it
DRAINED_HOST, COLD_HOST = "s-2", "s-4"
PURGED_KEY = "00000000000000ff"
WORK_S, LINK_SIZE = 0.02, 30.0  # time that a stand-in takes for a request; capacity of a link, as listed
RULES: dict[str, float] = {"cold_from": 0.02, "fall_multiple": 2.0, "warm_s": 600.0, "tip_s": 1.5}


def new_settings() -> dict[str, Any]:
    """Settings of new deployments.

    No sizes, no load reports, no direct requests to the origin, no retry advice; one class is keyed.
    """
    settings = copy.deepcopy(SETTINGS)
    settings["weights"] = "off"
    settings["report"] = {"fields": [], "how": "off"}
    settings["family_info"] |= {"pass_through_ok": False, "client_kb_per_s": 0.0}
    settings["limits"] |= {"retry_after": False, "probes": False, "try_limit": 6}
    settings["services"][2] |= {"effect": "guarded", "window": 2000 * MS}
    return settings


@dataclass(frozen=True)
class ReceivedServe:
    """One `serve` command as a cache received it."""

    cache: str
    front: int
    cls: str
    key: str
    via: str
    fresh: int  # largest copy age in ms; 0: that of the class
    at: float


@dataclass
class Observations:
    """What caches and clients observed, by front; times are Unix seconds."""

    commands: list[ReceivedServe] = field(default_factory=list)
    statuses: dict[int, list[int]] = field(default_factory=lambda: {OLD: [], NEW: []})
    request_counts: Counter[int] = field(default_factory=Counter)
    drain_received_at: float = 0.0  # when both fronts had received the drain
    purged_at: float = 0.0
    purge_received_at: float = 0.0
    started_at: float = 0.0  # when the cold machine started


def find_violations(observed: Observations) -> list[str]:
    """Check the rules and fairness; return a line for each violation."""
    faults = []
    for s in observed.commands:
        if (
            DRAINED_HOST in (s.cache, s.via)
            and observed.drain_received_at
            and s.at > observed.drain_received_at
        ):
            faults.append(f"drain: front {s.front} sent to {s.cache} via {s.via}")
        old_copy = not s.fresh or s.fresh > (s.at - observed.purged_at) * 1000 + 1
        if (
            s.key == PURGED_KEY
            and observed.purge_received_at
            and s.at > observed.purge_received_at
            and old_copy
        ):
            faults.append(f"purge: front {s.front} takes a copy of {s.fresh} ms")
        if s.front == NEW and s.cache[0] != "s":
            faults.append(f"straight: front {s.front} sent to {s.cache}")
    reached = sorted(s.at for s in observed.commands if s.cache == COLD_HOST)
    for n, at in enumerate(reached):
        share = RULES["cold_from"] + (1 - RULES["cold_from"]) * (at - observed.started_at) / RULES["warm_s"]
        span = [later for later in reached[n:] if later < at + RULES["tip_s"]]
        if len(span) * WORK_S > RULES["fall_multiple"] * share * LINK_SIZE * RULES["tip_s"]:
            faults.append(f"cold: {len(span)} requests in a window")
            break
    for front, statuses in observed.statuses.items():
        if len(statuses) != observed.request_counts[front]:
            faults.append(f"lost: front {front} answered {len(statuses)} of {observed.request_counts[front]}")
        others = max(statuses.count(200) for statuses in observed.statuses.values())
        if statuses.count(200) < 0.8 * others:
            faults.append(f"starved: front {front} has {statuses.count(200)} served, another {others}")
    return faults


class TwoFronts:
    """Two fronts, each with its own change log, before the same caches."""

    def __init__(self, folder: Path) -> None:
        self.observed, self.folder = Observations(), folder
        names = ("s-1", DRAINED_HOST, "s-3", COLD_HOST, "p-1", "o-1")
        self.caches = {name: Cache(self.behaviour(name)) for name in names}
        self.fronts = {OLD: Front(folder / "old", self.caches), NEW: Front(folder / "new", self.caches)}
        self.clients: dict[int, Client] = {}

    def behaviour(self, name: str) -> Callable[[ReceivedCommand], None]:
        def behave(command: ReceivedCommand) -> None:
            get = command.fields.get
            front, fresh = int(command.id[0]), int(get("fresh", "0"))
            served = ReceivedServe(
                name, front, get("class", ""), get("key", ""), get("via", ""), fresh, time.time()
            )
            self.observed.commands.append(served)
            asyncio.get_running_loop().call_later(WORK_S, command.respond_with_data)

        return behave

    async def start(self) -> None:
        for cache in self.caches.values():
            await cache.start()
        kinds = {"p": "parent", "o": "origin"}
        hosts = [host(n, c.address, kinds.get(n[0], "std")) for n, c in self.caches.items() if n != COLD_HOST]
        for number, front in self.fronts.items():
            front.folder.mkdir()
            await front.change_log.start()
            listed = copy.deepcopy(hosts)
            for entry in listed if number == NEW else []:
                del entry["share"]
            front.change_log.add_event(fleet={"seq": 0, "whole": True, "hosts": listed})
            settings = copy.deepcopy(SETTINGS) if number == OLD else new_settings()
            settings["replicas_of_me"], settings["family_info"]["seats_by_zone"] = 2, [0, 2]
            settings["rules"] |= {"cold_from": RULES["cold_from"], "fall_multiple": RULES["fall_multiple"]}
            settings["rules"] |= {"warm_within": int(RULES["warm_s"] * 1000) * MS}
            front.address = allocate_address()
            front.config = raw_config(
                listen="{}:{}".format(*front.address), changelog=front.change_log.address,
                known=front.change_log.make_snapshot(),
                settings=settings, name=f"n{number}",
            )  # fmt: skip
            await front.start()
            self.clients[number] = await front.connect_client()

    async def append_to_logs(self, **event: Any) -> None:
        """Append an event to both change logs; wait until both fronts have polled for the next event."""
        logs: list[ChangeLog] = [front.change_log for front in self.fronts.values()]
        last = [log.add_event(**event) for log in logs]
        await until(
            lambda: all(
                log.poll_positions and log.poll_positions[-1] >= n for log, n in zip(logs, last, strict=True)
            ),
            "told",
        )

    async def send_requests(self, first: int, count: int, key: str = "") -> None:
        """Send `count` requests to each front, eight of them open at a time."""

        async def send_request(number: int, request: int) -> None:
            item, cls = key or f"{request * 7919 % 40 + 1:016x}", ("lot-image", "lot-video")[request % 2]
            upload = (
                request % 10 == 0 and not key
            )  # not cacheable: sent directly to the origin if that is allowed
            self.clients[number].send_request(
                request, "bid" if upload else cls, b"offer" * upload,
                HTTP_X_JOB_ID=f"{number}{request:015x}", HTTP_X_ITEM=item, HTTP_X_N="0",
            )  # fmt: skip
            got = await self.clients[number].wait_for_response(request)
            self.observed.statuses[number].append(got.status)

        for at in range(first, first + count, 8):
            batch = range(at, min(at + 8, first + count))
            for number in self.fronts:
                self.observed.request_counts[number] += len(batch)
            await asyncio.gather(*(send_request(number, r) for number in self.fronts for r in batch))

    async def stop(self) -> None:
        for front in self.fronts.values():
            await front.stop()


def test_fronts_with_old_and_new_settings_share_caches(tmp_path: Path) -> None:
    async def run() -> Observations:
        fronts = TwoFronts(tmp_path)
        observed = fronts.observed
        try:
            await fronts.start()
            await fronts.send_requests(1, 160)
            drained = host(DRAINED_HOST, fronts.caches[DRAINED_HOST].address, health="DRAINING")
            await fronts.append_to_logs(fleet={"seq": 1, "whole": False, "hosts": [drained]})
            observed.drain_received_at = time.time()
            observed.started_at = time.time()
            cold = host(COLD_HOST, fronts.caches[COLD_HOST].address, born_ms=int(observed.started_at * 1000))
            await fronts.append_to_logs(fleet={"seq": 2, "whole": False, "hosts": [cold]})
            await fronts.send_requests(1001, 160)
            observed.purged_at = time.time()
            await fronts.append_to_logs(
                invalidate={"object": PURGED_KEY, "time": int(observed.purged_at * 1000)}
            )
            observed.purge_received_at = time.time()
            await fronts.send_requests(2001, 8, key=PURGED_KEY)
            await fronts.send_requests(3001, 80)
        finally:
            await fronts.stop()
        return observed

    observed = asyncio.run(run())
    assert find_violations(observed) == []
    for number in (OLD, NEW):
        mine = [s for s in observed.commands if s.front == number]
        assert {s.cache for s in mine} >= {"s-1", DRAINED_HOST, "s-3"} and any(
            s.key == PURGED_KEY for s in mine
        )
    assert any(s.via == "p-1" for s in observed.commands if s.front == NEW)


VALID_SERVE = ReceivedServe("s-1", NEW, "lot-image", "01", "p-1", 0, 10.0)


@pytest.mark.parametrize(
    ("broken", "fault"),
    [
        ([replace(VALID_SERVE, cache=DRAINED_HOST)], "drain"),
        ([replace(VALID_SERVE, via=DRAINED_HOST)], "drain"),
        ([replace(VALID_SERVE, key=PURGED_KEY)], "purge"),
        ([replace(VALID_SERVE, key=PURGED_KEY, fresh=9000)], "purge"),
        ([replace(VALID_SERVE, cache="p-1")], "straight"),
        ([replace(VALID_SERVE, cache=COLD_HOST)] * 200, "cold"),
    ],
)
def test_each_violation_of_a_rule_is_detected(broken: list[ReceivedServe], fault: str) -> None:
    observed = Observations(
        broken, drain_received_at=5.0, purged_at=4.0, purge_received_at=5.0, started_at=9.0
    )
    assert [line.partition(":")[0] for line in find_violations(observed)] == [fault] * len(
        find_violations(observed)
    )
    assert find_violations(observed) and find_violations(replace(observed, commands=[VALID_SERVE])) == []


def test_lost_requests_and_unfair_service_are_detected() -> None:
    observed = Observations(
        statuses={OLD: [200] * 10, NEW: [200] * 5}, request_counts=Counter({OLD: 10, NEW: 6})
    )
    assert [line.partition(":")[0] for line in find_violations(observed)] == ["lost", "starved"]

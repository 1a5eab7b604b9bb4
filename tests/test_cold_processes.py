"""What six front processes together send to a cold cache, whether they learn of its start early or late."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from copy import deepcopy
from pathlib import Path

import pytest

from tests.frontkit import SETTINGS, host, raw_config
from tests.loopback import allocate_address
from tests.standins import Cache, Client, Front, ReceivedCommand, until

FRONTS = 6  # processes
REQUEST_WORK_S = 0.25  # seconds that a request takes, as the fronts first estimate it by their settings
COLD = "s-1"  # the machine that is restarted
INITIAL_SHARE = 0.2  # of its size, which a machine can carry right after its start
FALL_MULTIPLE = 2.5  # a machine fails under more than so many times what it can carry
KIND_BY_LETTER = {"p": "parent", "o": "origin"}


class ColdStart:
    """Fronts, each with its own change log, over the same caches, one of which is restarted.

    Attributes:
        size: Transfers that a machine can carry at once.
        window: Seconds over which the commands to the cold cache are counted.
        warm: Seconds from a start until the machine is warm.
        born: Time of the last start of the cold cache, Unix seconds.
        notified: Numbers of the fronts that know of the start.
        sends: Unix time and front of each command to the cold cache; only of notified fronts.
        request_counts: Requests sent to each front.
    """

    def __init__(self, folder: Path, size: float, window: float, warm: float, fault: str = "") -> None:
        self.size, self.window, self.warm, self.born, self.notified = size, window, warm, 0.0, set[int]()
        self.sends: list[tuple[float, int]] = []
        self.caches = {name: Cache(self.make_behaviour(name)) for name in (COLD, "s-2", "s-3", "p-1", "o-1")}
        self.fronts, self.clients, self.request_counts = list[Front](), list[Client](), [0] * FRONTS
        for n in range(FRONTS):
            (folder / f"{n}").mkdir()
            self.fronts.append(Front(folder / f"{n}", self.caches, fault=fault))

    def make_behaviour(self, name: str) -> Callable[[ReceivedCommand], None]:
        """Respond to each command at once, and record those to the cold cache."""

        def respond(command: ReceivedCommand) -> None:
            front = int(command.fields["key"][:2], 16)
            if name == COLD and front in self.notified:
                self.sends.append((time.time(), front))
            command.respond_with_data(how="pulled")

        return respond

    async def start(self) -> None:
        settings = deepcopy(SETTINGS)
        settings["replicas_of_me"], settings["family_info"]["seats_by_zone"] = FRONTS, [0, FRONTS]
        settings["family_info"] |= {"class_fresh": [0], "never_kept": [False], "usable_after": [0]}
        settings["services"] = [s for s in settings["services"] if s["name"] == "lot-image"]
        settings["services"][0]["on_time"] = int(REQUEST_WORK_S * 1e9)
        settings["rules"] = {
            "cold_from": INITIAL_SHARE,
            "fall_multiple": FALL_MULTIPLE,
            "tip_after": int(self.window * 1e9),
            "warm_within": int(self.warm * 1e9),
        }
        for cache in self.caches.values():
            await cache.start()
        for n, front in enumerate(self.fronts):
            await front.change_log.start()
            front.change_log.add_event(
                fleet={"seq": 0, "whole": True, "hosts": [self.host(c) for c in self.caches]}
            )
            front.address = allocate_address()
            front.config = raw_config(
                name=f"n{n}", listen="{}:{}".format(*front.address), seed=f"{n + 1:016x}",
                changelog=front.change_log.address, known=front.change_log.make_snapshot(), settings=settings,
            )  # fmt: skip
        await asyncio.gather(*(front.start() for front in self.fronts))
        self.clients = [await front.connect_client() for front in self.fronts]

    def host(self, name: str, **changes: object) -> dict[str, object]:
        return host(
            name, self.caches[name].address, KIND_BY_LETTER.get(name[0], "std"), share=self.size, **changes
        )

    async def notify(self, fronts: range) -> None:
        """Announce the start to fronts; wait for two responses each, after which they have applied it."""
        for n in fronts:
            new = self.host(COLD, born_ms=int(self.born * 1000))
            self.fronts[n].change_log.add_event(fleet={"seq": 1, "whole": False, "hosts": [new]})
        for n in fronts:
            log = self.fronts[n].change_log
            await until(lambda log=log: log.poll_positions[-1] == len(log.events), "the start is received")  # type: ignore[misc]
        await asyncio.gather(*(self.send_requests(n, 2) for n in fronts))
        self.notified |= set(fronts)

    async def send_requests(self, n: int, count: int) -> None:
        """Send a front `count` requests for different objects, one after the other."""
        for _ in range(count):
            self.request_counts[n] = number = self.request_counts[n] + 1
            job = f"{n + 1:04x}{number:012x}"
            item = f"{n:02x}{number * 0x9E3779B97F4A7C15 % (1 << 56):014x}"
            self.clients[n].send_request(number % 30000, HTTP_X_JOB_ID=job, HTTP_X_ITEM=item)
            await self.clients[n].wait_for_response(number % 30000)

    async def load(self, seconds: float) -> None:
        """Send each front a new request as soon as it has responded."""

        async def load_front(n: int) -> None:
            while time.time() < end:
                await self.send_requests(n, 1)

        end = time.time() + seconds
        await asyncio.gather(*(load_front(n) for n in range(FRONTS)))

    def max_load(self, part: float) -> tuple[float, int]:
        """The window with the highest load: its load relative to the limit, and its number of commands.

        The limit is `part` of N + 2 sqrt(N) + 2, where N commands in a window make a cold machine fail.
        """
        worst = (0.0, 0)
        for at, _ in self.sends:
            count = sum(at <= sent < at + self.window for sent, _ in self.sends)
            share = INITIAL_SHARE + (1 - INITIAL_SHARE) * min((at - self.born) / self.warm, 1)
            n = FALL_MULTIPLE * share * self.size * self.window / REQUEST_WORK_S
            worst = max(worst, (count / (part * (n + 2 * math.sqrt(n) + 2)), count))
        return worst


def run_scenario(cold_start: ColdStart, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        try:
            await cold_start.start()
            await scenario()
            assert not any(front.has_exited for front in cold_start.fronts)
        finally:
            for front in cold_start.fronts:
                await front.stop()

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["", "cold pushed over"])
def test_notified_fronts_keep_to_the_budget_whatever_the_others_send(tmp_path: Path, fault: str) -> None:
    """Under load three fronts learn of a start at once and three a second later; then the cache restarts."""
    cold_start = ColdStart(tmp_path, size=2.0, window=0.5, warm=6.0, fault=fault)

    async def scenario() -> None:
        for _ in range(2):
            cold_start.born = time.time()
            cold_start.notified.clear()
            cold_start.sends.clear()
            await cold_start.notify(range(FRONTS // 2))
            await cold_start.load(1.0)
            await cold_start.notify(range(FRONTS // 2, FRONTS))
            await cold_start.load(1.0)
            # the fronts that are not notified yet may send a third of the limit
            assert (cold_start.max_load(2 / 3)[0] > 1) == bool(fault), cold_start.max_load(2 / 3)
            assert cold_start.sends, "the cold cache is warmed"

    run_scenario(cold_start, scenario)


def test_budget_saved_by_idle_processes_does_not_add_up(tmp_path: Path) -> None:
    """All fronts learn of a start, get a few requests, are idle, and then get requests at the same time."""
    cold_start = ColdStart(tmp_path, size=5 / 3, window=0.3, warm=60.0)

    async def scenario() -> None:
        cold_start.born = time.time()
        await cold_start.notify(range(FRONTS))
        await asyncio.gather(*(cold_start.send_requests(n, 12) for n in range(FRONTS)))
        await asyncio.sleep(3.6)  # idle for so long that the budget of each front suffices for a request
        await asyncio.gather(*(cold_start.send_requests(n, 12) for n in range(FRONTS)))
        load, count = cold_start.max_load(1)
        assert load <= 1, f"{count} in one window"

    run_scenario(cold_start, scenario)

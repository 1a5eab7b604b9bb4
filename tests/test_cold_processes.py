"""Cold caches and six front processes: what all send one that has just started, told early or late."""

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

FRONTS, WORK = 6, 0.25  # processes; seconds of a request, as the settings let them guess
COLD, SHARE, MULTIPLE = "s-1", 0.2, 2.5  # the machine that starts; of its size at first; beyond it falls
KINDS = {"p": "parent", "o": "origin"}


class Story:
    """Fronts with a change log each, over the same caches; what the cold one was asked, by whom and when."""

    def __init__(self, folder: Path, size: float, window: float, warm: float, fault: str = "") -> None:
        self.size, self.window, self.warm, self.born, self.told = size, window, warm, 0.0, set[int]()
        self.sends: list[tuple[float, int]] = []  # Unix seconds, front; only of fronts that are told
        self.caches = {name: Cache(self.asked(name)) for name in (COLD, "s-2", "s-3", "p-1", "o-1")}
        self.fronts, self.clients, self.count = list[Front](), list[Client](), [0] * FRONTS
        for n in range(FRONTS):
            (folder / f"{n}").mkdir()
            self.fronts.append(Front(folder / f"{n}", self.caches, fault=fault))

    def asked(self, name: str) -> Callable[[ReceivedCommand], None]:
        def answer(asked: ReceivedCommand) -> None:
            front = int(asked.fields["key"][:2], 16)
            if name == COLD and front in self.told:
                self.sends.append((time.time(), front))
            asked.respond_with_data(how="pulled")

        return answer

    async def start(self) -> None:
        settings = deepcopy(SETTINGS)
        settings["replicas_of_me"], settings["family_info"]["seats_by_zone"] = FRONTS, [0, FRONTS]
        settings["family_info"] |= {"class_fresh": [0], "never_kept": [False], "usable_after": [0]}
        settings["services"] = [s for s in settings["services"] if s["name"] == "lot-image"]
        settings["services"][0]["on_time"] = int(WORK * 1e9)
        settings["rules"] = {
            "cold_from": SHARE,
            "fall_multiple": MULTIPLE,
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
        return host(name, self.caches[name].address, KINDS.get(name[0], "std"), share=self.size, **changes)

    async def tell(self, fronts: range) -> None:
        """They hear of the start; what they write later comes after two answers of caches."""
        for n in fronts:
            new = self.host(COLD, born_ms=int(self.born * 1000))
            self.fronts[n].change_log.add_event(fleet={"seq": 1, "whole": False, "hosts": [new]})
        for n in fronts:
            log = self.fronts[n].change_log
            await until(lambda log=log: log.poll_positions[-1] == len(log.events), "the start is told")  # type: ignore[misc]
        await asyncio.gather(*(self.ask(n, 2) for n in fronts))
        self.told |= set(fronts)

    async def ask(self, n: int, count: int) -> None:
        """So many requests for other objects, one after the other."""
        for _ in range(count):
            self.count[n] = number = self.count[n] + 1
            job = f"{n + 1:04x}{number:012x}"
            item = f"{n:02x}{number * 0x9E3779B97F4A7C15 % (1 << 56):014x}"
            self.clients[n].send_request(number % 30000, HTTP_X_JOB_ID=job, HTTP_X_ITEM=item)
            await self.clients[n].wait_for_response(number % 30000)

    async def load(self, seconds: float) -> None:
        """Each front is asked again as soon as it has answered."""

        async def one(n: int) -> None:
            while time.time() < end:
                await self.ask(n, 1)

        end = time.time() + seconds
        await asyncio.gather(*(one(n) for n in range(FRONTS)))

    def strain(self, part: float) -> tuple[float, int]:
        """The most of a window over that part of N + 2 x root of N + 2, and how many it was."""
        worst = (0.0, 0)
        for at, _ in self.sends:
            count = sum(at <= other < at + self.window for other, _ in self.sends)
            share = SHARE + (1 - SHARE) * min((at - self.born) / self.warm, 1)
            n = MULTIPLE * share * self.size * self.window / WORK
            worst = max(worst, (count / (part * (n + 2 * math.sqrt(n) + 2)), count))
        return worst


def played(story: Story, scenario: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        try:
            await story.start()
            await scenario()
            assert not any(front.has_exited for front in story.fronts)
        finally:
            for front in story.fronts:
                await front.stop()

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["", "cold pushed over"])
def test_notified_fronts_keep_to_the_budget_whatever_the_others_send(tmp_path: Path, fault: str) -> None:
    """Under load three hear of a start at once and three later; it starts anew meanwhile, told alike."""
    story = Story(tmp_path, size=2.0, window=0.5, warm=6.0, fault=fault)

    async def scenario() -> None:
        for _ in range(2):
            story.born = time.time()
            story.told.clear()
            story.sends.clear()
            await story.tell(range(FRONTS // 2))
            await story.load(1.0)
            await story.tell(range(FRONTS // 2, FRONTS))
            await story.load(1.0)
            # who was not told may bring a third
            assert (story.strain(2 / 3)[0] > 1) == bool(fault), story.strain(2 / 3)
            assert story.sends, "and it is warmed"

    played(story, scenario)


def test_budget_saved_by_idle_processes_does_not_add_up(tmp_path: Path) -> None:
    """All hear of a start, ask a little and then nothing for a while; then clients come to all at once."""
    story = Story(tmp_path, size=5 / 3, window=0.3, warm=60.0)

    async def scenario() -> None:
        story.born = time.time()
        await story.tell(range(FRONTS))
        await asyncio.gather(*(story.ask(n, 12) for n in range(FRONTS)))
        await asyncio.sleep(3.6)  # the story's quiet: by then each could pay for a request
        await asyncio.gather(*(story.ask(n, 12) for n in range(FRONTS)))
        strain, count = story.strain(1)
        assert strain <= 1, f"{count} in one window"

    played(story, scenario)

"""Machines that leave, return and take each other's addresses while attempts wait in dials and queues.

The front's own module and cache actors over loopback in virtual time; dials are held back and let through
when the story wants it, and the news of the list comes in between.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from quincepier import clock
from quincepier.checks import Checks
from quincepier.config import read_front
from quincepier.lifecycle.front import Front
from quincepier.net import connection
from quincepier.net.actor import Actor
from quincepier.net.messages import Answer, Came, News
from quincepier.net.module import ModuleActor
from quincepier.net.sockets import connect as plain
from quincepier.wire.changelog import FleetChange, read_changes
from tests.frontkit import Inbox, host, open_request, raw_config
from tests.standins import Cache, ReceivedCommand, until
from tests.virtual import run, unix_ms

Hosts = list[dict[str, Any]]


class Place:
    """A front before stand-ins; of each `serve` it is known over which connection it came."""

    def __init__(self, patch: pytest.MonkeyPatch, *names: str) -> None:
        self.caches = {name: Cache(ReceivedCommand.respond_with_data) for name in names}
        self.inbox, self.number, self.seq = Inbox(), 0, 2
        self.held: dict[tuple[str, int], list[asyncio.Event]] = {}
        self.dialled: list[Any] = []  # the front's ends, as the machines see them
        self.patch = patch

    async def connect(self, address: tuple[str, int], timeout: float, checks: Checks) -> Any:
        if address in self.held:
            gate = asyncio.Event()
            self.held[address].append(gate)
            await gate.wait()
        sock = await plain(address, timeout, checks)
        self.dialled.append(sock.getsockname())
        return sock

    async def start(self) -> None:
        self.patch.setattr(connection, "connect", self.connect)
        for cache in self.caches.values():
            await cache.start()
        listed = self.event([self.host(name) for name in self.caches], True, seq=1)
        purged_ms = unix_ms(asyncio.get_running_loop().time())  # what started before that is older by the log
        purge = {"seq": 2, "invalidate": {"bucket": 99, "time": purged_ms}}
        known = {"seq": 2, "results": [listed, purge]}
        self.front = Front(read_front(raw_config(known=known), {}))
        self.front.module.begin()
        self.upkeep = asyncio.create_task(self.front._upkeep())

    def host(self, name: str, at: str | None = None, **changed: Any) -> dict[str, Any]:
        kinds = {"p": "parent", "o": "origin"}
        return host(name, self.caches[at or name].address, kinds.get(name[0], "std"), **changed)

    def event(self, hosts: Hosts, whole: bool = False, seq: int = 0) -> dict[str, Any]:
        seq = seq or self.seq
        return {"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": hosts}}

    def tell(self, *events: Hosts) -> None:
        """As one answer of the change log: all of it is in the mailbox before any is handled."""
        for hosts in events:
            self.seq += 1
            _, (change,) = read_changes({"seq": self.seq, "results": [self.event(hosts)]})
            assert isinstance(change, FleetChange)
            self.front.module.mailbox.urge(News(change))

    def ask(self, times: int) -> None:
        for _ in range(times):
            self.number += 1
            job = f"{self.number:016x}"
            request = open_request(
                self.inbox, 0, job, object_id=self.number, object_key=job, received_at_ns=clock.now()
            )
            self.front.module.mailbox.push(Came(request))

    def hold(self, name: str) -> list[asyncio.Event]:
        address, port = self.caches[name].address.split(":")
        return self.held.setdefault((address, int(port)), [])

    def let_through(self) -> None:
        """All dials, held or to come."""
        gates = [gate for held in self.held.values() for gate in held]
        self.held.clear()
        for gate in gates:
            gate.set()

    async def answered(self, times: int) -> list[Answer]:
        await until(lambda: len(self.inbox.got) >= times, f"{times} are answered")
        await asyncio.sleep(0.5)  # of virtual time: whatever else would come has come
        assert len(self.inbox.got) == times
        return self.inbox.got

    def over(self, name: str) -> list[Any]:
        """By which of the front's ends each `serve` came to a machine."""
        return [asked.writer.get_extra_info("peername") for asked in self.caches[name].commands]

    async def end(self) -> None:
        self.upkeep.cancel()
        actors: list[Actor[Any]] = [self.front.module, *self.front.module.caches.values()]
        for actor in actors:
            actor.cancel()
        await asyncio.sleep(0.01)
        for cache in self.caches.values():
            assert cache.server is not None
            cache.server.close()
        assert not [kind for kind in self.front.checks.counts if "exception" in kind or "invariant" in kind]


def play(
    patch: pytest.MonkeyPatch, story: Callable[[Place], Awaitable[None]], names: str = "s-1 p-1 o-1"
) -> None:
    async def whole() -> None:
        place = Place(patch, *names.split())
        await place.start()
        try:
            await story(place)
        finally:
            await place.end()

    run(whole(), patch)


def warm() -> int:
    """Born after all that is listed, and long warm."""
    return unix_ms(asyncio.get_running_loop().time()) - 60_000


def gone(place: Place, name: str) -> dict[str, Any]:
    return place.host(name, health="DELETED")


# A machine that returns under its id

RETURNS: list[Callable[[Place], list[Hosts]]] = [
    lambda place: [[gone(place, "s-1")], [place.host("s-1", born_ms=warm())]],
    lambda place: [[gone(place, "s-1"), place.host("s-1", born_ms=warm())]],
    lambda place: [[place.host("s-1", health="DRAINING")], [place.host("s-1", born_ms=warm())]],
    lambda place: [[place.host("s-1", born_ms=warm())]],
]


@pytest.mark.parametrize("told", RETURNS, ids=["gone_then_anew", "in_one_event", "drains_then_anew", "anew"])
def test_a_machine_listed_again_in_the_same_answer_is_asked_again(
    monkeypatch: pytest.MonkeyPatch, told: Callable[[Place], list[Hosts]]
) -> None:
    async def story(place: Place) -> None:
        place.ask(3)
        await place.answered(3)
        before = len(place.caches["s-1"].commands)
        place.tell(*told(place))
        await asyncio.sleep(1)  # of virtual time: what is off the list is swept away
        place.ask(5)
        assert [answer.status for answer in await place.answered(8)] == [200] * 8
        assert len(place.caches["s-1"].commands) == before + 5

    play(monkeypatch, story)


# Another machine at its address

TAKEN: dict[str, Callable[[Place], list[Hosts]]] = {
    "gone_then_new": lambda place: [[gone(place, "s-1")], [place.host("s-9", "s-1", born_ms=warm())]],
    "new_then_gone": lambda place: [[place.host("s-9", "s-1", born_ms=warm())], [gone(place, "s-1")]],
    "one_event": lambda place: [[gone(place, "s-1"), place.host("s-9", "s-1", born_ms=warm())]],
    "one_event_new_first": lambda place: [[place.host("s-9", "s-1", born_ms=warm()), gone(place, "s-1")]],
    "new_and_gone_untold": lambda place: [[place.host("s-9", "s-1", born_ms=warm())]],
}


@pytest.mark.parametrize("order", TAKEN)
def test_nothing_meant_for_a_machine_reaches_the_one_that_has_its_address_now(
    monkeypatch: pytest.MonkeyPatch, order: str
) -> None:
    async def story(place: Place) -> None:
        place.ask(1)
        await place.answered(1)  # a connection rests
        held = place.hold("s-1")
        place.caches["s-1"].behaviour = lambda asked: None  # else that connection took one after the other
        place.ask(8)
        await until(lambda: bool(held), "attempts wait in dials, and one is out over the connection")
        place.caches["s-1"].behaviour = ReceivedCommand.respond_with_data
        place.tell(*TAKEN[order](place))
        place.ask(4)
        await asyncio.sleep(0.01)
        before = set(place.dialled)
        place.caches["s-1"].commands.clear()
        place.let_through()
        assert [answer.status for answer in await place.answered(13)] == [200] * 13
        module, new = place.front.module, place.front.module.directory.assign_number("s-9")
        known = {
            module.directory.host_by_number.get(number) for number in module.router.placement.table.by_id
        }
        assert known == {"s-9", "p-1", "o-1"} and module.caches[new].out == {}
        assert len(place.caches["s-1"].commands) == 12, "the new one serves them"
        assert not before & set(place.over("s-1")), "over a connection that was the old one's"
        live = {c.sock.getsockname() for c in module.caches[new].connections if c.sock is not None}
        assert set(place.over("s-1")) <= live, "over a dial that was the old one's"

    play(monkeypatch, story)


@pytest.mark.parametrize("order", TAKEN)
def test_the_cold_budget_is_that_of_the_new_one(monkeypatch: pytest.MonkeyPatch, order: str) -> None:
    async def story(place: Place) -> None:
        place.ask(1)
        await place.answered(1)
        events = TAKEN[order](place)
        for told in (record for hosts in events for record in hosts if record["host"] == "s-9"):
            told["born_ms"] = unix_ms(asyncio.get_running_loop().time())
        place.tell(*events)
        await asyncio.sleep(0.01)
        router, new = place.front.module.router, place.front.module.directory.assign_number("s-9")
        upstream = router.placement.table.by_id[new]
        assert upstream.started_at > 0 and router.slow_start.warmth(upstream).share < 1

    play(monkeypatch, story)


def test_an_answer_over_the_old_ones_connection_is_not_taken_for_the_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(place: Place) -> None:
        cache = place.caches["s-1"]
        cache.behaviour = lambda asked: None
        place.ask(1)
        await until(lambda: len(cache.commands) == 1, "it is out")
        place.tell([gone(place, "s-1"), place.host("s-9", "s-1", born_ms=warm())])
        await until(lambda: len(cache.commands) == 2, "it is sent to the new one")
        old, new = cache.commands
        old.respond_with_data(b"of the old one")
        await asyncio.sleep(0.05)
        assert not place.inbox.got
        new.respond_with_data(b"of the new one")
        (answer,) = await place.answered(1)
        assert answer.status == 200 and answer.body is not None
        assert b"".join(bytes(piece) for piece in answer.body.chunks()) == b"of the new one"

    play(monkeypatch, story)


def test_an_attempt_in_a_dial_does_not_go_out_where_the_machine_was_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(place: Place) -> None:
        held = place.hold("s-1")
        place.ask(4)
        await until(lambda: bool(held), "attempts wait in dials")
        place.tell([place.host("s-1", "s-2", born_ms=warm()), gone(place, "s-2")])
        await asyncio.sleep(0.01)
        place.let_through()
        assert [answer.status for answer in await place.answered(4)] == [200] * 4
        assert not place.caches["s-1"].commands

    play(monkeypatch, story, "s-1 s-2 p-1 o-1")


# Drains


def drained(patch: pytest.MonkeyPatch) -> tuple[int, int]:
    """Drains of a cache and a parent as attempts wait in dials and requests in the queue: how many `serve`
    went to that cache, and named that parent, after their news."""
    counts = [0, 0]

    async def story(place: Place) -> None:
        held = place.hold("s-1")
        place.hold("s-2")
        place.ask(12)
        await until(lambda: bool(held), "attempts wait in dials")
        place.ask(200)  # the module's queue is long as the news comes
        place.tell([place.host("s-1", health="DRAINING")], [place.host("p-1", health="DRAINING")])
        await asyncio.sleep(0.01)
        place.let_through()
        await place.answered(212)
        counts[0] = len(place.caches["s-1"].commands)
        counts[1] = sum(asked.fields.get("via") == "p-1" for asked in place.caches["s-2"].commands)

    play(patch, story, "s-1 s-2 p-1 p-2 o-1")
    return counts[0], counts[1]


def test_no_first_byte_goes_to_a_machine_once_the_news_of_its_drain_is_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert drained(monkeypatch) == (0, 0)


def test_a_front_that_lets_out_what_was_decided_before_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ModuleActor, "_recall_from", lambda self, news: None)
    to, by = drained(monkeypatch)
    assert to > 0 and by > 0

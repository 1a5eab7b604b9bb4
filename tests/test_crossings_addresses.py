"""Machines that leave the endpoint list, return, or take over addresses while attempts wait in dials.

A whole front runs over loopback in virtual time. The tests hold its dials, change the endpoint list
meanwhile, and then release the dials.
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
from quincepier.net.change_log_applier import ChangeLogApplier
from quincepier.net.messages import ChangeLogEvent, RequestArrived, Response
from quincepier.net.sockets import connect as plain_connect
from quincepier.wire.changelog import FleetChange, read_changes
from tests.frontkit import Inbox, host, open_request, raw_config
from tests.standins import Cache, ReceivedCommand, until
from tests.virtual import run, unix_ms

Hosts = list[dict[str, Any]]


class AddressChangeHarness:
    """A front with stand-in machines that record over which connection each `serve` arrived."""

    def __init__(self, patch: pytest.MonkeyPatch, *names: str) -> None:
        self.caches = {name: Cache(ReceivedCommand.respond_with_data) for name in names}
        self.inbox, self.number, self.seq = Inbox(), 0, 2
        self.held_dials: dict[tuple[str, int], list[asyncio.Event]] = {}
        self.connected: list[Any] = []  # the front's ends of its connections
        self.patch = patch

    async def connect(self, address: tuple[str, int], timeout: float, checks: Checks) -> Any:
        if address in self.held_dials:
            gate = asyncio.Event()
            self.held_dials[address].append(gate)
            await gate.wait()
        sock = await plain_connect(address, timeout, checks)
        self.connected.append(sock.getsockname())
        return sock

    async def start(self) -> None:
        self.patch.setattr(connection, "connect", self.connect)
        for cache in self.caches.values():
            await cache.start()
        listed = self.event([self.host(name) for name in self.caches], True, seq=1)
        purged_ms = unix_ms(
            asyncio.get_running_loop().time()
        )  # machines started earlier are older by the change log
        purge = {"seq": 2, "invalidate": {"bucket": 99, "time": purged_ms}}
        known = {"seq": 2, "results": [listed, purge]}
        self.front = Front(read_front(raw_config(known=known), {}))
        self.front.module.start_with_known_events()
        self.upkeep = asyncio.create_task(self.front._upkeep())

    def host(self, name: str, at: str | None = None, **changed: Any) -> dict[str, Any]:
        kinds = {"p": "parent", "o": "origin"}
        return host(name, self.caches[at or name].address, kinds.get(name[0], "std"), **changed)

    def event(self, hosts: Hosts, whole: bool = False, seq: int = 0) -> dict[str, Any]:
        seq = seq or self.seq
        return {"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": hosts}}

    def apply_events(self, *events: Hosts) -> None:
        """Deliver events as one response of the change log: all are in the mailbox before any is handled."""
        for hosts in events:
            self.seq += 1
            _, (change,) = read_changes({"seq": self.seq, "results": [self.event(hosts)]})
            assert isinstance(change, FleetChange)
            self.front.module.mailbox.push_urgent(ChangeLogEvent(change))

    def submit(self, times: int) -> None:
        for _ in range(times):
            self.number += 1
            job = f"{self.number:016x}"
            request = open_request(
                self.inbox, 0, job, object_id=self.number, object_key=job, received_at_ns=clock.now()
            )
            self.front.module.mailbox.push(RequestArrived(request))

    def hold_dials(self, name: str) -> list[asyncio.Event]:
        address, port = self.caches[name].address.split(":")
        return self.held_dials.setdefault((address, int(port)), [])

    def release_dials(self) -> None:
        """Let all held dials go on; later ones are not held."""
        gates = [gate for held in self.held_dials.values() for gate in held]
        self.held_dials.clear()
        for gate in gates:
            gate.set()

    async def wait_for_responses(self, times: int) -> list[Response]:
        await until(lambda: len(self.inbox.responses) >= times, f"{times} are answered")
        await asyncio.sleep(0.5)  # of virtual time: further responses would have arrived
        assert len(self.inbox.responses) == times
        return self.inbox.responses

    def serve_connections(self, name: str) -> list[Any]:
        """Return the front's end of the connection for each `serve` that a machine received."""
        return [asked.writer.get_extra_info("peername") for asked in self.caches[name].commands]

    async def close(self) -> None:
        self.upkeep.cancel()
        actors: list[Actor[Any]] = [self.front.module, *self.front.module.caches.values()]
        for actor in actors:
            actor.cancel()
        await asyncio.sleep(0.01)
        for cache in self.caches.values():
            assert cache.server is not None
            cache.server.close()
        assert not [kind for kind in self.front.checks.counts if "exception" in kind or "invariant" in kind]


def run_scenario(
    patch: pytest.MonkeyPatch,
    scenario: Callable[[AddressChangeHarness], Awaitable[None]],
    names: str = "s-1 p-1 o-1",
) -> None:
    async def whole() -> None:
        harness = AddressChangeHarness(patch, *names.split())
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.close()

    run(whole(), patch)


def warm_start_ms() -> int:
    """Return a start time later than that of all listed machines, and long enough ago to be warm."""
    return unix_ms(asyncio.get_running_loop().time()) - 60_000


def deleted(harness: AddressChangeHarness, name: str) -> dict[str, Any]:
    return harness.host(name, health="DELETED")


# A machine that returns under its id

RETURNS: list[Callable[[AddressChangeHarness], list[Hosts]]] = [
    lambda harness: [[deleted(harness, "s-1")], [harness.host("s-1", born_ms=warm_start_ms())]],
    lambda harness: [[deleted(harness, "s-1"), harness.host("s-1", born_ms=warm_start_ms())]],
    lambda harness: [
        [harness.host("s-1", health="DRAINING")],
        [harness.host("s-1", born_ms=warm_start_ms())],
    ],
    lambda harness: [[harness.host("s-1", born_ms=warm_start_ms())]],
]


@pytest.mark.parametrize(
    "changes", RETURNS, ids=["gone_then_anew", "in_one_event", "drains_then_anew", "anew"]
)
def test_a_machine_listed_again_in_the_same_answer_is_asked_again(
    monkeypatch: pytest.MonkeyPatch, changes: Callable[[AddressChangeHarness], list[Hosts]]
) -> None:
    async def scenario(harness: AddressChangeHarness) -> None:
        harness.submit(3)
        await harness.wait_for_responses(3)
        before = len(harness.caches["s-1"].commands)
        harness.apply_events(*changes(harness))
        await asyncio.sleep(1)  # of virtual time: unlisted machines are removed
        harness.submit(5)
        assert [answer.status for answer in await harness.wait_for_responses(8)] == [200] * 8
        assert len(harness.caches["s-1"].commands) == before + 5

    run_scenario(monkeypatch, scenario)


# Another machine at its address

TAKEN: dict[str, Callable[[AddressChangeHarness], list[Hosts]]] = {
    "gone_then_new": lambda harness: [
        [deleted(harness, "s-1")],
        [harness.host("s-9", "s-1", born_ms=warm_start_ms())],
    ],
    "new_then_gone": lambda harness: [
        [harness.host("s-9", "s-1", born_ms=warm_start_ms())],
        [deleted(harness, "s-1")],
    ],
    "one_event": lambda harness: [
        [deleted(harness, "s-1"), harness.host("s-9", "s-1", born_ms=warm_start_ms())]
    ],
    "one_event_new_first": lambda harness: [
        [harness.host("s-9", "s-1", born_ms=warm_start_ms()), deleted(harness, "s-1")]
    ],
    "new_and_gone_untold": lambda harness: [[harness.host("s-9", "s-1", born_ms=warm_start_ms())]],
}


@pytest.mark.parametrize("order", TAKEN)
def test_nothing_meant_for_a_machine_reaches_the_one_that_has_its_address_now(
    monkeypatch: pytest.MonkeyPatch, order: str
) -> None:
    async def scenario(harness: AddressChangeHarness) -> None:
        harness.submit(1)
        await harness.wait_for_responses(1)  # leaves an idle connection
        held = harness.hold_dials("s-1")
        # No responses: otherwise the idle connection would serve all of them in turn.
        harness.caches["s-1"].behaviour = lambda asked: None
        harness.submit(8)
        await until(lambda: bool(held), "attempts wait in dials, and one is sent over the idle connection")
        harness.caches["s-1"].behaviour = ReceivedCommand.respond_with_data
        harness.apply_events(*TAKEN[order](harness))
        harness.submit(4)
        await asyncio.sleep(0.01)
        old_connections = set(harness.connected)
        harness.caches["s-1"].commands.clear()
        harness.release_dials()
        assert [answer.status for answer in await harness.wait_for_responses(13)] == [200] * 13
        module, new = harness.front.module, harness.front.module.directory.assign_number("s-9")
        known = {
            module.directory.host_by_number.get(number) for number in module.router.placement.table.by_id
        }
        assert known == {"s-9", "p-1", "o-1"} and module.caches[new].in_flight == {}
        assert len(harness.caches["s-1"].commands) == 12, "the new machine serves them"
        assert not old_connections & set(
            harness.serve_connections("s-1")
        ), "over a connection to the old machine"
        live = {c.sock.getsockname() for c in module.caches[new].connections if c.sock is not None}
        assert set(harness.serve_connections("s-1")) <= live, "over a dial to the old machine"

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("order", TAKEN)
def test_the_cold_budget_is_that_of_the_new_one(monkeypatch: pytest.MonkeyPatch, order: str) -> None:
    async def scenario(harness: AddressChangeHarness) -> None:
        harness.submit(1)
        await harness.wait_for_responses(1)
        events = TAKEN[order](harness)
        for changed in (record for hosts in events for record in hosts if record["host"] == "s-9"):
            changed["born_ms"] = unix_ms(asyncio.get_running_loop().time())
        harness.apply_events(*events)
        await asyncio.sleep(0.01)
        router, new = harness.front.module.router, harness.front.module.directory.assign_number("s-9")
        upstream = router.placement.table.by_id[new]
        assert upstream.started_at > 0 and router.slow_start.warm_up_state(upstream).capacity_share < 1

    run_scenario(monkeypatch, scenario)


def test_an_answer_over_the_old_ones_connection_is_not_taken_for_the_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: AddressChangeHarness) -> None:
        cache = harness.caches["s-1"]
        cache.behaviour = lambda asked: None
        harness.submit(1)
        await until(lambda: len(cache.commands) == 1, "the command is sent")
        harness.apply_events([deleted(harness, "s-1"), harness.host("s-9", "s-1", born_ms=warm_start_ms())])
        await until(lambda: len(cache.commands) == 2, "the command is sent to the new machine")
        old, new = cache.commands
        old.respond_with_data(b"of the old one")
        await asyncio.sleep(0.05)
        assert not harness.inbox.responses
        new.respond_with_data(b"of the new one")
        (answer,) = await harness.wait_for_responses(1)
        assert answer.status == 200 and answer.body is not None
        assert b"".join(bytes(piece) for piece in answer.body.take_chunks()) == b"of the new one"

    run_scenario(monkeypatch, scenario)


def test_an_attempt_in_a_dial_does_not_go_out_where_the_machine_was_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: AddressChangeHarness) -> None:
        held = harness.hold_dials("s-1")
        harness.submit(4)
        await until(lambda: bool(held), "attempts wait in dials")
        harness.apply_events([harness.host("s-1", "s-2", born_ms=warm_start_ms()), deleted(harness, "s-2")])
        await asyncio.sleep(0.01)
        harness.release_dials()
        assert [answer.status for answer in await harness.wait_for_responses(4)] == [200] * 4
        assert not harness.caches["s-1"].commands

    run_scenario(monkeypatch, scenario, "s-1 s-2 p-1 o-1")


# Drains


def count_sent_after_drain(patch: pytest.MonkeyPatch) -> tuple[int, int]:
    """Drain a cache and a parent while attempts wait in dials and requests in the queue.

    Return how many `serve` commands went to the cache, and how many named the parent, after the event.
    """
    counts = [0, 0]

    async def scenario(harness: AddressChangeHarness) -> None:
        held = harness.hold_dials("s-1")
        harness.hold_dials("s-2")
        harness.submit(12)
        await until(lambda: bool(held), "attempts wait in dials")
        harness.submit(200)  # the router's queue is long when the event arrives
        harness.apply_events(
            [harness.host("s-1", health="DRAINING")], [harness.host("p-1", health="DRAINING")]
        )
        await asyncio.sleep(0.01)
        harness.release_dials()
        await harness.wait_for_responses(212)
        counts[0] = len(harness.caches["s-1"].commands)
        counts[1] = sum(asked.fields.get("via") == "p-1" for asked in harness.caches["s-2"].commands)

    run_scenario(patch, scenario, "s-1 s-2 p-1 p-2 o-1")
    return counts[0], counts[1]


def test_no_first_byte_goes_to_a_machine_once_the_news_of_its_drain_is_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert count_sent_after_drain(monkeypatch) == (0, 0)


def test_a_front_that_lets_out_what_was_decided_before_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChangeLogApplier, "_revoke_leaving", lambda self, news: None)
    to_cache, naming_parent = count_sent_after_drain(monkeypatch)
    assert to_cache > 0 and naming_parent > 0

"""Several addresses on sockets: drops at every moment, races, drains, purges, changes of the list, storms."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from quincepier import clock
from quincepier.addresses import Address, Cause, Preference, parse, parse_term
from quincepier.addresses.section import Aside, Dials
from quincepier.interface import AttemptOutcome
from quincepier.lab.scripted_cache import Moment, Script
from quincepier.net import dialer as dialing
from tests.addresskit import KEYED, SAFE, UNSAFE, Inside, Machine, play, quick
from tests.standins import until

ORDERS = (("ipv4", "ipv6", "unix"), ("unix", "ipv4", "ipv6"), ("ipv6", "unix", "ipv4"))
DROPS = [
    Script(Moment.REFUSE),
    Script(Moment.BEFORE),
    Script(Moment.FULL),
    *(Script(Moment.ACCEPT, rst) for rst in (False, True)),
    *(Script(Moment.INSIDE, rst, bytes=n) for rst in (False, True) for n in (1, 7, 60)),
    *(Script(Moment.WHOLE, rst) for rst in (False, True)),
    *(Script(Moment.ANSWER, rst) for rst in (False, True)),
    *(Script(Moment.AFTER, rst) for rst in (False, True)),
]


def name_of(script: Script) -> str:
    return f"{script.moment.name} {script.bytes or ''} {'RST' if script.rst else 'FIN'}"


@pytest.mark.parametrize("script", DROPS, ids=name_of)
def test_every_drop_every_class_every_order(tmp_path: Path, script: Script) -> None:
    """The first address in each order drops; one final answer each, a bid received whole at most once."""

    async def scenario() -> None:
        for order in ORDERS:
            machines = {name: Machine(tmp_path) for name in ("s-1", "p-1", "o-1")}
            prefer = tuple(parse_term(kind) for kind in order)
            inside = Inside(tmp_path, machines, **quick(prefer=prefer))
            await inside.start(order)
            for machine in machines.values():
                machine.set(order[0], Script(script.moment, script.rst, script.bytes))
            inboxes, served = [], {}
            for cls in (SAFE, KEYED, UNSAFE):
                job, inbox, _ = inside.ask(cls, part=cls)
                served[cls] = await inside.answered(inbox), job
                inboxes.append(inbox)
            await inside.quiet()
            received = {
                cls: sum(m.received_count_by_id[job] for m in machines.values())
                for cls, (_, job) in served.items()
            }
            assert received[UNSAFE] <= 1, "a bid arrives once at most"
            assert [len(inbox.got) for inbox in inboxes] == [1, 1, 1], "one final answer each"
            assert served[SAFE][0] == served[KEYED][0] == 200, "another address serves what may be repeated"
            never_begun = script.moment in (Moment.REFUSE, Moment.FULL, Moment.AFTER)
            if never_begun:
                assert served[UNSAFE][0] == 200 and received[UNSAFE] == 1
            elif script.moment is not Moment.BEFORE:
                assert served[UNSAFE][0] in (200, 502)
                assert (served[UNSAFE][0] == 200) <= (received[UNSAFE] == 1)
            await inside.close()

    play(scenario)


def test_a_bid_whose_command_was_begun_fails_and_the_next_goes_over_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        inside = Inside(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **quick())
        await inside.start()
        origin.set("unix", Script(Moment.WHOLE, True))
        job, status = await inside.serve(UNSAFE)
        assert (status, origin.received_count_by_id[job]) == (502, 1)
        assert inside.way("o-1").resting(parse(origin.endpoint_by_kind["unix"].address))
        again, status = await inside.serve(UNSAFE)
        assert (status, origin.received_commands[-1]) == (200, ("ipv6", again))
        await inside.close()

    play(scenario)


def test_a_video_part_is_asked_again_at_the_same_machine_over_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "s-2": Machine(tmp_path), "p-1": Machine(tmp_path)}
        inside = Inside(tmp_path, machines, **quick())
        await inside.start()
        for machine in machines.values():
            machine.set("unix", Script(Moment.WHOLE, True))
        for part in range(6):
            job, status = await inside.serve(SAFE, part)
            assert status == 200
            (home,) = [
                m for m in machines.values() if m.received_count_by_id[job]
            ]  # the hashed cache, and no other
            assert [kind for kind, id in home.received_commands if id == job][-1] == "ipv6"
        assert not any(node.is_ejected for node in inside.module.router.placement.table.by_id.values())
        await inside.close()

    play(scenario)


def test_a_machine_is_lost_to_the_module_only_when_every_address_has_failed(tmp_path: Path) -> None:
    async def scenario() -> None:
        machine, endings = Machine(tmp_path), list[AttemptOutcome]()
        inside = Inside(tmp_path, {"s-1": machine, "o-1": Machine(tmp_path)}, **quick())
        await inside.start()
        told = inside.module._ended

        def ended(end: Any) -> None:
            endings.append(end.ending)
            told(end)

        inside.module._ended = ended  # type: ignore[method-assign]
        for kind, left in (("unix", 2), ("ipv6", 1)):
            machine.set(kind, Script(Moment.REFUSE))
            await inside.serve(SAFE, left)
            await until(lambda: not inside.cache("s-1").out, "nothing is out")
        assert set(endings) == {AttemptOutcome.OK}
        machine.set("ipv4", Script(Moment.REFUSE))
        for connection in inside.cache("s-1").connections:
            connection.close()
        await until(lambda: not inside.cache("s-1").connections, "the old connections are gone")
        await inside.serve(SAFE, 9)
        assert AttemptOutcome.CONNECT_FAILED in endings and inside.cache("s-1").number in {
            n.endpoint.cache for n in inside.module.router.placement.table.by_id.values() if n.is_ejected
        }
        machine.set("ipv4", Script())  # set aside or not, what is listed is tried
        await inside.cache("s-1").way.connect()  # type: ignore[union-attr]
        await inside.close()

    play(scenario)


def test_both_up_at_once_one_is_used_and_the_other_closed(tmp_path: Path) -> None:
    """The first address comes up only after the stagger; its late connection carries nothing."""

    async def scenario() -> None:
        machine = Machine(tmp_path)
        inside = Inside(tmp_path, {"s-1": machine, "o-1": Machine(tmp_path)}, **quick())
        await inside.start()
        machine.set("unix", Script(Moment.FULL))

        async def opens() -> None:
            await asyncio.sleep(0.028)  # about when the second dial starts
            machine.set("unix", Script())

        opening = asyncio.create_task(opens())
        jobs = [inside.ask(SAFE, part) for part in range(20)]
        for _, inbox, _ in jobs:
            assert await inside.answered(inbox) == 200
        await opening
        assert all(machine.received_count_by_id[job] == 1 for job, _, _ in jobs)
        way = inside.way("s-1")
        await until(lambda: not (way.races.races or way.tasks or way.up), "no dial is left")
        assert way.extras == 0 and inside.dialer.account.used == 0
        assert inside.module.means.descriptors.caches == sum(
            len(cache.connections) for cache in inside.module.caches.values()
        )
        await inside.close()

    play(scenario)


@pytest.mark.parametrize("news", ["drain", "gone", "source drains", "purge"])
def test_what_is_told_while_a_dial_is_awaited_stops_the_command(tmp_path: Path, news: str) -> None:
    """No address takes the dial until the news has come; then all do, and the old command is not written."""

    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "p-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        inside = Inside(tmp_path, machines, **quick())
        await inside.start()
        edge = machines["s-1"]
        for kind in edge.kinds:
            edge.set(kind, Script(Moment.FULL))
        job, inbox, request = inside.ask(SAFE)
        await until(lambda: bool(inside.way("s-1").tasks), "it dials")
        (attempt,) = request.attempts
        match news:
            case "purge":
                inside.tell(invalidate={"object": f"{request.object_id:016x}", "time": 1})
            case "source drains":
                inside.tell(inside.record("p-1", machines["p-1"].addresses(), health="DRAINING"))
            case _:
                state = "DRAINING" if news == "drain" else "DELETED"
                inside.tell(inside.record("s-1", edge.addresses(), health=state))
        await until(lambda: attempt.is_revoked and attempt.is_ended, "the attempt went back")
        for kind in edge.kinds:
            edge.set(kind, Script())
        assert await inside.answered(inbox) == 200
        if news in ("drain", "gone"):
            assert edge.received_count_by_id[job] == 0
        assert sum(machine.received_count_by_id[job] for machine in machines.values()) == 1
        await inside.close()

    play(scenario)


def test_a_recalled_attempt_is_stopped_right_before_its_first_byte(tmp_path: Path) -> None:
    """The connection is up and the command queued when the news comes: the flag alone must hold it."""

    async def scenario() -> None:
        inside = Inside(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **quick())
        await inside.start()
        first, _ = await inside.serve(UNSAFE)
        cache, endings = inside.cache("o-1"), list[AttemptOutcome]()
        told = cache.ended

        def ended(what: Any, ending: AttemptOutcome, at: int, another_way: bool = False) -> None:
            endings.append(ending)
            told(what, ending, at, another_way)

        cache.ended = ended  # type: ignore[method-assign]
        (connection,) = cache.connections
        send = connection.send

        def tell(id: str, what: Any, command: Any) -> None:
            send(id, what, command)
            if not endings:
                what.is_revoked = True  # told in the same turn, after the command was queued

        connection.send = tell  # type: ignore[method-assign]
        second, status = await inside.serve(UNSAFE)
        assert (endings, status, origin.received_count_by_id[second]) == (
            [AttemptOutcome.NOT_PROCESSED],
            200,
            1,
        )
        await inside.close()

    play(scenario)


def test_a_client_that_leaves_in_the_middle_of_a_race_ends_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        inside = Inside(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **quick())
        await inside.start()
        for kind in origin.kinds:
            origin.set(kind, Script(Moment.FULL))
        job, inbox, request = inside.ask(UNSAFE)
        await until(lambda: bool(inside.way("o-1").tasks), "it dials")
        inside.leave(request)
        await until(lambda: not inside.way("o-1").tasks, "nothing is dialled for nobody")
        await until(lambda: not inside.cache("o-1").connections, "its connection is gone")
        assert (inside.module.means.descriptors.caches, inside.dialer.account.used) == (0, 0)
        assert inbox.got == [] and origin.received_count_by_id[job] == 0
        counts = inside.checks.counts
        assert counts["dials_cancelled"] and not counts["dials_failed_timed_out"]
        await inside.close()

    play(scenario)


def test_hundreds_of_attempts_when_the_first_address_has_just_died(tmp_path: Path) -> None:
    async def scenario() -> None:
        inside = Inside(tmp_path, {"o-1": (origin := Machine(tmp_path, ("ipv4", "ipv6")))}, **quick())
        await inside.start()
        await inside.serve(UNSAFE)
        assert origin.received_commands[0][0] == "ipv6"
        origin.set("ipv6", Script(Moment.REFUSE))
        for connection in inside.cache("o-1").connections:
            connection.close()
        await until(lambda: not inside.cache("o-1").connections, "the old connection is gone")
        before = dict(inside.checks.counts)
        asked = [inside.ask(UNSAFE) for _ in range(300)]
        for _, inbox, _ in asked:
            assert await inside.answered(inbox) == 200
        assert all(origin.received_count_by_id[job] == 1 for job, _, _ in asked)
        refused = inside.checks.counts["dials_failed_refused"] - before.get("dials_failed_refused", 0)
        assert 1 <= refused <= 8, refused
        assert inside.dialer.account.peak <= 64
        await inside.close()

    play(scenario)


def test_every_descriptor_in_use_dials_one_address_after_the_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        inside = Inside(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **quick())
        await inside.start(sockets=32)
        descriptors = inside.module.means.descriptors
        for kind in ("unix", "ipv6"):
            origin.set(kind, Script(Moment.REFUSE))
        asked = [inside.ask(UNSAFE) for _ in range(40)]
        most = 0
        while not all(inbox.got for _, inbox, _ in asked):
            most = max(most, descriptors.caches)
            await asyncio.sleep(0.001)
        assert most <= descriptors.caches_most
        assert {inbox.got[0].status for _, inbox, _ in asked} == {200}
        assert all(origin.received_count_by_id[job] == 1 for job, _, _ in asked)
        await inside.close()

    play(scenario)


def test_a_new_id_at_an_old_address_and_two_ids_that_share_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        old = Machine(tmp_path)
        inside = Inside(tmp_path, {"s-1": old, "o-1": Machine(tmp_path)}, **quick())
        await inside.start()
        await inside.serve(SAFE, 1)
        way = inside.way("s-1")
        way.broke(parse(old.endpoint_by_kind["unix"].address), clock.now(), "as a test")
        inside.tell(
            inside.record("s-1", old.addresses(), health="DELETED"), inside.record("s-2", old.addresses())
        )
        await until(lambda: "s-2" in inside.module.directory.entry_by_host, "the list is taken")
        new = inside.way("s-2")
        assert new is not way and not new.resting(
            parse(old.endpoint_by_kind["unix"].address)
        )  # another machine
        inside.tell(inside.record("s-3", old.addresses()))
        for part in range(8):
            assert (await inside.serve(SAFE, part))[1] == 200
        used = {name: len(inside.cache(name).connections) for name in ("s-2", "s-3")}
        assert all(used.values()), used
        await inside.close()

    play(scenario)


def test_addresses_changed_by_the_list_and_by_the_operators_while_attempts_are_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path)
        inside = Inside(tmp_path, {"o-1": origin}, **quick())
        await inside.start(("unix", "ipv6"))
        origin.set("unix", Script(Moment.SILENT))
        silent, inbox, _ = inside.ask(UNSAFE)
        await until(lambda: origin.received_count_by_id[silent] == 1, "it is out")
        inside.tell(inside.record("o-1", [origin.endpoint_by_kind["ipv6"].address]))
        await until(lambda: len(inside.way("o-1").book.entries) == 1, "the list is taken")
        assert not inbox.got  # what is out stays out over the old address
        job, status = await inside.serve(UNSAFE)
        assert (status, origin.received_commands[-1]) == (200, ("ipv6", job))
        origin.set("ipv6", Script(Moment.FULL))
        for connection in inside.cache("o-1").connections:
            if connection.idle:
                connection.close()
        waiting, held, _ = inside.ask(UNSAFE)
        await until(lambda: bool(inside.way("o-1").tasks), "it dials")
        section = type(inside.section)(
            **quick(
                machines={"o-1": (parse(origin.endpoint_by_kind["ipv4"].address),)},
                forbid=(parse_term("ipv6"),),
            )
        )
        inside.module.follow_addresses(section)  # SIGHUP: the one being dialled is forbidden
        assert await inside.answered(held) == 200 and origin.received_commands[-1] == ("ipv4", waiting)
        assert [str(a) for a in inside.way("o-1").book.entries] == [origin.endpoint_by_kind["ipv4"].address]
        await inside.close()

    play(scenario)


@pytest.mark.parametrize(
    ("address", "cause"),
    [
        ("unix:{}/missing", Cause.MISSING),
        ("unix:{}/stale", Cause.REFUSED),
        ("unix:{}/file", Cause.REFUSED),
        ("[2001:db8::1]:9", Cause.UNREACHABLE),
        ("127.0.0.1:1", Cause.REFUSED),
    ],
)
def test_how_a_dial_fails_is_told_from_other_ways(tmp_path: Path, address: str, cause: Cause) -> None:
    """Paths missing and stale, IPv6 without a route; where this machine has one, not up in time."""

    async def scenario() -> None:
        stale = socket.socket(socket.AF_UNIX)
        stale.bind(str(tmp_path / "stale"))
        stale.close()
        (tmp_path / "file").write_text("no socket")
        with pytest.raises(OSError) as caught:
            await dialing.dial(parse(address.format(tmp_path)), 0.2)
        may = {cause, Cause.TIMED_OUT} if cause is Cause.UNREACHABLE else {cause}
        assert dialing.cause_of(caught.value) in may

    play(scenario)


def test_errors_of_the_system_have_their_causes() -> None:
    import errno

    told = {
        errno.EACCES: Cause.FORBIDDEN,
        errno.EMFILE: Cause.LOCAL_RESOURCES,
        errno.ENETUNREACH: Cause.UNREACHABLE,
        errno.ECONNRESET: Cause.RESET,
        errno.EADDRNOTAVAIL: Cause.LOCAL_RESOURCES,
        errno.ENOTSOCK: Cause.MISSING,
    }
    assert {number: dialing.cause_of(OSError(number, os.strerror(number))) for number in told} == told


def test_a_full_unix_backlog_is_not_taken_for_a_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        machine = Machine(tmp_path, ("unix",))
        await machine.start()
        machine.set("unix", Script(Moment.FULL))
        with pytest.raises(TimeoutError):
            await dialing.dial(parse(machine.endpoint_by_kind["unix"].address), 0.05)
        await machine.close()

    play(scenario)


def test_a_silent_address_rests_and_what_is_idle_there_is_not_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        edge = Machine(tmp_path)
        inside = Inside(tmp_path, {"s-1": edge, "o-1": Machine(tmp_path)}, **quick())
        await inside.start()
        first = [inside.ask(SAFE, part) for part in range(3)]  # some connections over the first address
        for _, inbox, _ in first:
            await inside.answered(inbox)
        edge.set("unix", Script(Moment.SILENT))
        inside.way("s-1").broke(parse(edge.endpoint_by_kind["unix"].address), clock.now(), "silent")
        job, status = await inside.serve(SAFE, 5)
        assert (status, edge.received_commands[-1]) == (200, ("ipv6", job))
        await inside.close()

    play(scenario)


def test_a_cold_machine_gets_no_command_more_by_racing_and_falling_back(tmp_path: Path) -> None:
    """Over a machine with failing addresses go as many whole commands as the module sent attempts."""

    async def scenario() -> None:
        edge = Machine(tmp_path)
        machines = {"s-1": edge, "p-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        inside = Inside(tmp_path, machines, **quick(aside_ms=Aside(first=20, most=40)))
        await inside.start()
        born = inside.record("s-1", edge.addresses(), born_ms=time.time_ns() // clock.MS - 1000)
        inside.tell(born)
        await until(
            lambda: inside.module.router.placement.table.by_id[inside.cache("s-1").number].started_at > 0,
            "it is cold",
        )
        sent = []
        perform = inside.module._send
        number = inside.cache("s-1").number

        def send(action: Any, now: int) -> None:
            sent.append(action.cache == number)
            perform(action, now)

        inside.module._send = send  # type: ignore[method-assign]
        scripts = [Script(Moment.REFUSE), Script(), Script(Moment.ACCEPT, True), Script(Moment.FULL)]
        for n in range(40):
            edge.set("unix", scripts[n % 4])
            edge.set("ipv6", scripts[(n + 1) % 4])
            await inside.serve(SAFE, n)
        assert 0 < sum(edge.received_count_by_id.values()) <= sum(sent)
        await inside.close()

    play(scenario)


def test_forbidden_addresses_are_never_dialled_and_bad_ones_cost_no_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path)
        inside = Inside(tmp_path, {"o-1": origin}, **quick(forbid=(parse_term("unix"), parse_term("::1"))))
        await inside.start()
        job, status = await inside.serve(UNSAFE)
        assert (status, origin.received_commands) == (200, [("ipv4", job)])
        inside.tell(inside.record("o-1", [origin.endpoint_by_kind["ipv4"].address, "nonsense", "[::1]:0"]))
        await until(lambda: inside.checks.counts["endpoint_address_invalid"] >= 2, "they are told")
        assert (await inside.serve(UNSAFE))[1] == 200
        assert origin.endpoint_by_kind["unix"].accepted == origin.endpoint_by_kind["ipv6"].accepted == 0
        await inside.close()

    play(scenario)


def test_the_bound_on_dials_at_once_holds_for_the_machine_and_the_front(tmp_path: Path) -> None:
    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        inside = Inside(tmp_path, machines, **quick(dials=Dials(machine=4, front=6)))
        await inside.start()
        for machine in machines.values():
            for kind in ("unix", "ipv6"):
                machine.set(kind, Script(Moment.FULL))
        asked = [inside.ask(cls, n) for n in range(60) for cls in (SAFE, UNSAFE)]
        seen = [0, 0]
        while not all(inbox.got for _, inbox, _ in asked):
            ways = [len(way.tasks) for way in inside.dialer.ways.values()]
            seen = [max(seen[0], *ways), max(seen[1], sum(ways))]
            await asyncio.sleep(0.0005)
        assert seen[0] <= 4 and seen[1] <= 6 and inside.dialer.account.peak <= 6
        assert {inbox.got[0].status for _, inbox, _ in asked} <= {200, 503}
        assert sum(inbox.got[0].status == 200 for _, inbox, _ in asked) >= 60  # the bids at least
        await inside.close()

    play(scenario)


def test_machine_with_all_addresses_forbidden_is_told_and_fails_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path, ("ipv4",))
        inside = Inside(tmp_path, {"o-1": origin}, **quick(forbid=(parse_term("127.0.0.0/8"),)))
        await inside.start()
        assert inside.checks.counts["endpoint_addresses_forbidden"] == 1
        job, status = await inside.serve(UNSAFE)
        assert status == 503 and origin.received_count_by_id[job] == 0
        await inside.close()

    play(scenario)


def test_preference_of_the_operators_is_followed(tmp_path: Path) -> None:
    async def scenario() -> None:
        for kind in ("ipv4", "ipv6", "unix"):
            origin = Machine(tmp_path)
            inside = Inside(tmp_path, {"o-1": origin}, **quick(prefer=(parse_term(kind),)))
            await inside.start()
            await inside.serve(UNSAFE)
            assert [door for door, _ in origin.received_commands] == [kind]
            await inside.close()
        assert Preference([parse_term("::/0")]).grade(Address(parse("[::1]:1").family, "::1", 1)) == 0

    play(scenario)

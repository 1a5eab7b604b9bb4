"""Machines with several addresses, over sockets: broken connections, races, drains, purges, list changes."""

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
from quincepier.addresses.section import Aside, Dials, Stagger
from quincepier.interface import AttemptOutcome
from quincepier.lab.scripted_cache import Moment, Script
from quincepier.net import dialer as dialing
from tests.addresskit import KEYED, SAFE, UNSAFE, AddressHarness, Machine, long_backoff_section, run_on_uvloop
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
    """The first address in each order breaks; one final response each, a bid received whole at most once."""

    async def scenario() -> None:
        for order in ORDERS:
            machines = {name: Machine(tmp_path) for name in ("s-1", "p-1", "o-1")}
            prefer = tuple(parse_term(kind) for kind in order)
            harness = AddressHarness(tmp_path, machines, **long_backoff_section(prefer=prefer))
            await harness.start(order)
            for machine in machines.values():
                machine.set(order[0], Script(script.moment, script.rst, script.bytes))
            inboxes, served = [], {}
            for cls in (SAFE, KEYED, UNSAFE):
                job, inbox, _ = harness.submit(cls, part=cls)
                served[cls] = await harness.wait_for_status(inbox), job
                inboxes.append(inbox)
            await harness.wait_until_idle()
            received = {
                cls: sum(m.received_count_by_id[job] for m in machines.values())
                for cls, (_, job) in served.items()
            }
            assert received[UNSAFE] <= 1, "a bid arrives at most once"
            assert [len(inbox.responses) for inbox in inboxes] == [1, 1, 1], "one final response each"
            assert (
                served[SAFE][0] == served[KEYED][0] == 200
            ), "another address serves requests that may be retried"
            is_never_started = script.moment in (Moment.REFUSE, Moment.FULL, Moment.AFTER)
            if is_never_started:
                assert served[UNSAFE][0] == 200 and received[UNSAFE] == 1
            elif script.moment is not Moment.BEFORE:
                assert served[UNSAFE][0] in (200, 502)
                assert (served[UNSAFE][0] == 200) <= (received[UNSAFE] == 1)
            await harness.close()

    run_on_uvloop(scenario)


def test_a_bid_whose_command_was_begun_fails_and_the_next_goes_over_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        harness = AddressHarness(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **long_backoff_section())
        await harness.start()
        origin.set("unix", Script(Moment.WHOLE, True))
        job, status = await harness.serve(UNSAFE)
        assert (status, origin.received_count_by_id[job]) == (502, 1)
        assert harness.route("o-1").is_backing_off(parse(origin.endpoint_by_kind["unix"].address))
        again, status = await harness.serve(UNSAFE)
        assert (status, origin.received_commands[-1]) == (200, ("ipv6", again))
        await harness.close()

    run_on_uvloop(scenario)


def test_a_video_part_is_asked_again_at_the_same_machine_over_another_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "s-2": Machine(tmp_path), "p-1": Machine(tmp_path)}
        harness = AddressHarness(tmp_path, machines, **long_backoff_section())
        await harness.start()
        for machine in machines.values():
            machine.set("unix", Script(Moment.WHOLE, True))
        for part in range(6):
            job, status = await harness.serve(SAFE, part)
            assert status == 200
            (home,) = [
                m for m in machines.values() if m.received_count_by_id[job]
            ]  # only the cache that the key hashes to
            assert [kind for kind, id in home.received_commands if id == job][-1] == "ipv6"
        assert not any(node.is_ejected for node in harness.module.router.placement.table.by_id.values())
        await harness.close()

    run_on_uvloop(scenario)


def test_a_machine_is_lost_to_the_module_only_when_every_address_has_failed(tmp_path: Path) -> None:
    async def scenario() -> None:
        machine, outcomes = Machine(tmp_path), list[AttemptOutcome]()
        harness = AddressHarness(
            tmp_path, {"s-1": machine, "o-1": Machine(tmp_path)}, **long_backoff_section()
        )
        await harness.start()
        plain_ended = harness.module._on_attempt_finished

        def ended(finished: Any) -> None:
            outcomes.append(finished.outcome)
            plain_ended(finished)

        harness.module._on_attempt_finished = ended  # type: ignore[method-assign]
        for kind, left in (("unix", 2), ("ipv6", 1)):
            machine.set(kind, Script(Moment.REFUSE))
            await harness.serve(SAFE, left)
            await until(lambda: not harness.cache("s-1").in_flight, "nothing is in flight")
        assert set(outcomes) == {AttemptOutcome.OK}
        machine.set("ipv4", Script(Moment.REFUSE))
        for connection in harness.cache("s-1").connections:
            connection.close()
        await until(lambda: not harness.cache("s-1").connections, "the old connections are closed")
        await harness.serve(SAFE, 9)
        assert AttemptOutcome.CONNECT_FAILED in outcomes and harness.cache("s-1").number in {
            n.endpoint.number for n in harness.module.router.placement.table.by_id.values() if n.is_ejected
        }
        machine.set("ipv4", Script())  # listed addresses are tried even in backoff
        await harness.cache("s-1").route.connect()  # type: ignore[union-attr]
        await harness.close()

    run_on_uvloop(scenario)


def test_both_up_at_once_one_is_used_and_the_other_closed(tmp_path: Path) -> None:
    """The first address connects only after the stagger; its late connection is not used."""

    async def scenario() -> None:
        machine = Machine(tmp_path)
        harness = AddressHarness(
            tmp_path, {"s-1": machine, "o-1": Machine(tmp_path)}, **long_backoff_section()
        )
        await harness.start()
        machine.set("unix", Script(Moment.FULL))

        async def open_later() -> None:
            await asyncio.sleep(0.028)  # about when the second dial starts
            machine.set("unix", Script())

        opening = asyncio.create_task(open_later())
        jobs = [harness.submit(SAFE, part) for part in range(20)]
        for _, inbox, _ in jobs:
            assert await harness.wait_for_status(inbox) == 200
        await opening
        assert all(machine.received_count_by_id[job] == 1 for job, _, _ in jobs)
        route = harness.route("s-1")
        await until(
            lambda: not (route.races.race_by_number or route.task_by_dial or route.socket_by_dial),
            "all dials have ended",
        )
        assert route.extra_dials == 0 and harness.dialer.limiter.in_use == 0
        assert harness.module.dependencies.descriptors.outbound == sum(
            len(cache.connections) for cache in harness.module.caches.values()
        )
        await harness.close()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("event", ["drain", "gone", "source drains", "purge"])
def test_an_event_that_arrives_during_a_dial_stops_the_command(tmp_path: Path, event: str) -> None:
    """No address accepts until the event has arrived; then all do, and the old command is not sent."""

    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "p-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        harness = AddressHarness(tmp_path, machines, **long_backoff_section())
        await harness.start()
        edge = machines["s-1"]
        for kind in edge.kinds:
            edge.set(kind, Script(Moment.FULL))
        job, inbox, request = harness.submit(SAFE)
        await until(lambda: bool(harness.route("s-1").task_by_dial), "the front dials")
        (attempt,) = request.attempts
        match event:
            case "purge":
                harness.apply_event(invalidate={"object": f"{request.object_id:016x}", "time": 1})
            case "source drains":
                harness.apply_event(
                    harness.host_record("p-1", machines["p-1"].addresses(), health="DRAINING")
                )
            case _:
                state = "DRAINING" if event == "drain" else "DELETED"
                harness.apply_event(harness.host_record("s-1", edge.addresses(), health=state))
        await until(lambda: attempt.is_revoked and attempt.is_completed, "the attempt is revoked")
        for kind in edge.kinds:
            edge.set(kind, Script())
        assert await harness.wait_for_status(inbox) == 200
        if event in ("drain", "gone"):
            assert edge.received_count_by_id[job] == 0
        assert sum(machine.received_count_by_id[job] for machine in machines.values()) == 1
        await harness.close()

    run_on_uvloop(scenario)


def test_a_revoked_attempt_is_stopped_right_before_its_first_byte(tmp_path: Path) -> None:
    """The connection is established and the command queued when it is revoked: the flag must stop it."""

    async def scenario() -> None:
        harness = AddressHarness(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **long_backoff_section())
        await harness.start()
        first, _ = await harness.serve(UNSAFE)
        cache, outcomes = harness.cache("o-1"), list[AttemptOutcome]()
        plain_complete = cache.complete_without_response

        def ended(
            exchange: Any, outcome: AttemptOutcome, completed_at: int, has_alternative: bool = False
        ) -> None:
            outcomes.append(outcome)
            plain_complete(exchange, outcome, completed_at, has_alternative)

        cache.complete_without_response = ended  # type: ignore[method-assign]
        (connection,) = cache.connections
        send = connection.send

        def send_and_revoke(id: str, exchange: Any, command: Any) -> None:
            send(id, exchange, command)
            if not outcomes:
                exchange.is_revoked = True  # in the same turn, after the command was queued

        connection.send = send_and_revoke  # type: ignore[method-assign]
        second, status = await harness.serve(UNSAFE)
        assert (outcomes, status, origin.received_count_by_id[second]) == (
            [AttemptOutcome.NOT_PROCESSED],
            200,
            1,
        )
        await harness.close()

    run_on_uvloop(scenario)


def test_a_client_that_leaves_in_the_middle_of_a_race_ends_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        harness = AddressHarness(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **long_backoff_section())
        await harness.start()
        for kind in origin.kinds:
            origin.set(kind, Script(Moment.FULL))
        job, inbox, request = harness.submit(UNSAFE)
        await until(lambda: bool(harness.route("o-1").task_by_dial), "the front dials")
        harness.disconnect_client(request)
        await until(lambda: not harness.route("o-1").task_by_dial, "its dials are cancelled")
        await until(lambda: not harness.cache("o-1").connections, "its connection is closed")
        assert (harness.module.dependencies.descriptors.outbound, harness.dialer.limiter.in_use) == (0, 0)
        assert inbox.responses == [] and origin.received_count_by_id[job] == 0
        counts = harness.checks.counts
        assert counts["dials_cancelled"] and not counts["dials_failed_timed_out"]
        await harness.close()

    run_on_uvloop(scenario)


def test_hundreds_of_attempts_when_the_first_address_has_just_died(tmp_path: Path) -> None:
    async def scenario() -> None:
        harness = AddressHarness(
            tmp_path, {"o-1": (origin := Machine(tmp_path, ("ipv4", "ipv6")))}, **long_backoff_section()
        )
        await harness.start()
        await harness.serve(UNSAFE)
        assert origin.received_commands[0][0] == "ipv6"
        origin.set("ipv6", Script(Moment.REFUSE))
        for connection in harness.cache("o-1").connections:
            connection.close()
        await until(lambda: not harness.cache("o-1").connections, "the old connection is closed")
        before = dict(harness.checks.counts)
        asked = [harness.submit(UNSAFE) for _ in range(300)]
        for _, inbox, _ in asked:
            assert await harness.wait_for_status(inbox) == 200
        assert all(origin.received_count_by_id[job] == 1 for job, _, _ in asked)
        refused = harness.checks.counts["dials_failed_refused"] - before.get("dials_failed_refused", 0)
        assert 1 <= refused <= 8, refused
        assert harness.dialer.limiter.peak <= 64
        await harness.close()

    run_on_uvloop(scenario)


def test_every_descriptor_in_use_dials_one_address_after_the_other(tmp_path: Path) -> None:
    async def scenario() -> None:
        harness = AddressHarness(tmp_path, {"o-1": (origin := Machine(tmp_path))}, **long_backoff_section())
        await harness.start(sockets=32)
        descriptors = harness.module.dependencies.descriptors
        for kind in ("unix", "ipv6"):
            origin.set(kind, Script(Moment.REFUSE))
        asked = [harness.submit(UNSAFE) for _ in range(40)]
        peak = 0
        while not all(inbox.responses for _, inbox, _ in asked):
            peak = max(peak, descriptors.outbound)
            await asyncio.sleep(0.001)
        assert peak <= descriptors.max_outbound
        assert {inbox.responses[0].status for _, inbox, _ in asked} == {200}
        assert all(origin.received_count_by_id[job] == 1 for job, _, _ in asked)
        await harness.close()

    run_on_uvloop(scenario)


def test_a_new_id_at_an_old_address_and_two_ids_that_share_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        old = Machine(tmp_path)
        harness = AddressHarness(tmp_path, {"s-1": old, "o-1": Machine(tmp_path)}, **long_backoff_section())
        await harness.start()
        await harness.serve(SAFE, 1)
        route = harness.route("s-1")
        route.on_connection_failed(parse(old.endpoint_by_kind["unix"].address), clock.now(), "for a test")
        harness.apply_event(
            harness.host_record("s-1", old.addresses(), health="DELETED"),
            harness.host_record("s-2", old.addresses()),
        )
        await until(lambda: "s-2" in harness.module.directory.entry_by_host, "the list is applied")
        new = harness.route("s-2")
        assert new is not route and not new.is_backing_off(
            parse(old.endpoint_by_kind["unix"].address)
        )  # another machine
        harness.apply_event(harness.host_record("s-3", old.addresses()))
        for part in range(8):
            assert (await harness.serve(SAFE, part))[1] == 200
        used = {name: len(harness.cache(name).connections) for name in ("s-2", "s-3")}
        assert all(used.values()), used
        await harness.close()

    run_on_uvloop(scenario)


def test_addresses_changed_by_the_list_and_by_the_operators_while_attempts_are_out(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path)
        harness = AddressHarness(tmp_path, {"o-1": origin}, **long_backoff_section())
        await harness.start(("unix", "ipv6"))
        origin.set("unix", Script(Moment.SILENT))
        silent, inbox, _ = harness.submit(UNSAFE)
        await until(lambda: origin.received_count_by_id[silent] == 1, "the command is sent")
        harness.apply_event(harness.host_record("o-1", [origin.endpoint_by_kind["ipv6"].address]))
        await until(lambda: len(harness.route("o-1").book.state_by_address) == 1, "the list is applied")
        assert not inbox.responses  # the attempt stays on the old connection
        job, status = await harness.serve(UNSAFE)
        assert (status, origin.received_commands[-1]) == (200, ("ipv6", job))
        origin.set("ipv6", Script(Moment.FULL))
        for connection in harness.cache("o-1").connections:
            if connection.is_idle:
                connection.close()
        waiting, held_inbox, _ = harness.submit(UNSAFE)
        await until(lambda: bool(harness.route("o-1").task_by_dial), "the front dials")
        section = type(harness.section)(
            **long_backoff_section(
                machines={"o-1": (parse(origin.endpoint_by_kind["ipv4"].address),)},
                forbid=(parse_term("ipv6"),),
            )
        )
        harness.module.apply_address_settings(section)  # SIGHUP: the one being dialled is forbidden
        assert await harness.wait_for_status(held_inbox) == 200 and origin.received_commands[-1] == (
            "ipv4",
            waiting,
        )
        assert [str(a) for a in harness.route("o-1").book.state_by_address] == [
            origin.endpoint_by_kind["ipv4"].address
        ]
        await harness.close()

    run_on_uvloop(scenario)


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
    """Missing and stale paths; IPv6 without a route, or a timeout if this machine has one."""

    async def scenario() -> None:
        stale = socket.socket(socket.AF_UNIX)
        stale.bind(str(tmp_path / "stale"))
        stale.close()
        (tmp_path / "file").write_text("no socket")
        with pytest.raises(OSError) as caught:
            await dialing.dial(parse(address.format(tmp_path)), 0.2)
        allowed = {cause, Cause.TIMED_OUT} if cause is Cause.UNREACHABLE else {cause}
        assert dialing.cause_of(caught.value) in allowed

    run_on_uvloop(scenario)


def test_errors_of_the_system_have_their_causes() -> None:
    import errno

    cause_by_errno = {
        errno.EACCES: Cause.FORBIDDEN,
        errno.EMFILE: Cause.LOCAL_RESOURCES,
        errno.ENETUNREACH: Cause.UNREACHABLE,
        errno.ECONNRESET: Cause.RESET,
        errno.EADDRNOTAVAIL: Cause.LOCAL_RESOURCES,
        errno.ENOTSOCK: Cause.MISSING,
    }
    assert {
        number: dialing.cause_of(OSError(number, os.strerror(number))) for number in cause_by_errno
    } == cause_by_errno


def test_a_full_unix_backlog_is_not_taken_for_a_connection(tmp_path: Path) -> None:
    async def scenario() -> None:
        machine = Machine(tmp_path, ("unix",))
        await machine.start()
        machine.set("unix", Script(Moment.FULL))
        with pytest.raises(TimeoutError):
            await dialing.dial(parse(machine.endpoint_by_kind["unix"].address), 0.05)
        await machine.close()

    run_on_uvloop(scenario)


def test_a_silent_address_backs_off_and_idle_connections_to_it_are_not_used(tmp_path: Path) -> None:
    async def scenario() -> None:
        edge = Machine(tmp_path)
        harness = AddressHarness(tmp_path, {"s-1": edge, "o-1": Machine(tmp_path)}, **long_backoff_section())
        await harness.start()
        first = [harness.submit(SAFE, part) for part in range(3)]  # some connections over the first address
        for _, inbox, _ in first:
            await harness.wait_for_status(inbox)
        edge.set("unix", Script(Moment.SILENT))
        harness.route("s-1").on_connection_failed(
            parse(edge.endpoint_by_kind["unix"].address), clock.now(), "silent"
        )
        job, status = await harness.serve(SAFE, 5)
        assert (status, edge.received_commands[-1]) == (200, ("ipv6", job))
        await harness.close()

    run_on_uvloop(scenario)


def test_a_cold_machine_gets_no_command_more_by_racing_and_falling_back(tmp_path: Path) -> None:
    """A machine with failing addresses receives no more whole commands than the router sent attempts."""

    async def scenario() -> None:
        edge = Machine(tmp_path)
        machines = {"s-1": edge, "p-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        harness = AddressHarness(
            tmp_path, machines, **long_backoff_section(aside_ms=Aside(first=20, most=40))
        )
        await harness.start()
        born = harness.host_record("s-1", edge.addresses(), born_ms=time.time_ns() // clock.MS - 1000)
        harness.apply_event(born)
        await until(
            lambda: harness.module.router.placement.table.by_id[harness.cache("s-1").number].started_at > 0,
            "the machine is cold",
        )
        sent = []
        plain_send = harness.module._start_attempt
        number = harness.cache("s-1").number

        def send(action: Any, now: int) -> None:
            sent.append(action.cache == number)
            plain_send(action, now)

        harness.module._start_attempt = send  # type: ignore[method-assign]
        scripts = [Script(Moment.REFUSE), Script(), Script(Moment.ACCEPT, True), Script(Moment.FULL)]
        for n in range(40):
            edge.set("unix", scripts[n % 4])
            edge.set("ipv6", scripts[(n + 1) % 4])
            await harness.serve(SAFE, n)
        assert 0 < sum(edge.received_count_by_id.values()) <= sum(sent)
        await harness.close()

    run_on_uvloop(scenario)


def test_forbidden_addresses_are_never_dialled_and_bad_ones_cost_no_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path)
        harness = AddressHarness(
            tmp_path, {"o-1": origin}, **long_backoff_section(forbid=(parse_term("unix"), parse_term("::1")))
        )
        await harness.start()
        job, status = await harness.serve(UNSAFE)
        assert (status, origin.received_commands) == (200, [("ipv4", job)])
        harness.apply_event(
            harness.host_record("o-1", [origin.endpoint_by_kind["ipv4"].address, "nonsense", "[::1]:0"])
        )
        await until(
            lambda: harness.checks.counts["endpoint_address_invalid"] >= 2,
            "the invalid addresses are reported",
        )
        assert (await harness.serve(UNSAFE))[1] == 200
        assert origin.endpoint_by_kind["unix"].accepted == origin.endpoint_by_kind["ipv6"].accepted == 0
        await harness.close()

    run_on_uvloop(scenario)


def test_the_bound_on_dials_at_once_holds_for_the_machine_and_the_front(tmp_path: Path) -> None:
    async def scenario() -> None:
        machines = {"s-1": Machine(tmp_path), "o-1": Machine(tmp_path)}
        harness = AddressHarness(tmp_path, machines, **long_backoff_section(dials=Dials(machine=4, front=6)))
        await harness.start()
        for machine in machines.values():
            for kind in ("unix", "ipv6"):
                machine.set(kind, Script(Moment.FULL))
        asked = [harness.submit(cls, n) for n in range(60) for cls in (SAFE, UNSAFE)]
        peaks = [0, 0]
        while not all(inbox.responses for _, inbox, _ in asked):
            dial_counts = [len(route.task_by_dial) for route in harness.dialer.route_by_number.values()]
            peaks = [max(peaks[0], *dial_counts), max(peaks[1], sum(dial_counts))]
            await asyncio.sleep(0.0005)
        assert peaks[0] <= 4 and peaks[1] <= 6 and harness.dialer.limiter.peak <= 6
        assert {inbox.responses[0].status for _, inbox, _ in asked} <= {200, 503}
        assert sum(inbox.responses[0].status == 200 for _, inbox, _ in asked) >= 60  # the bids at least
        await harness.close()

    run_on_uvloop(scenario)


def test_machine_with_all_addresses_forbidden_is_reported_and_fails_at_once(tmp_path: Path) -> None:
    async def scenario() -> None:
        origin = Machine(tmp_path, ("ipv4",))
        harness = AddressHarness(
            tmp_path, {"o-1": origin}, **long_backoff_section(forbid=(parse_term("127.0.0.0/8"),))
        )
        await harness.start()
        assert harness.checks.counts["endpoint_addresses_forbidden"] == 1
        job, status = await harness.serve(UNSAFE)
        assert status == 503 and origin.received_count_by_id[job] == 0
        await harness.close()

    run_on_uvloop(scenario)


def test_preference_of_the_operators_is_followed(tmp_path: Path) -> None:
    """The stagger outlasts the test, so that no other address is dialled for a slow first dial."""

    async def scenario() -> None:
        for kind in ("ipv4", "ipv6", "unix"):
            origin = Machine(tmp_path)
            section = long_backoff_section(
                prefer=(parse_term(kind),), stagger_ms=Stagger(first=5000, most=5000)
            )
            harness = AddressHarness(tmp_path, {"o-1": origin}, **section)
            await harness.start()
            await harness.serve(UNSAFE)
            assert [door for door, _ in origin.received_commands] == [kind]
            await harness.close()
        assert Preference([parse_term("::/0")]).grade(Address(parse("[::1]:1").family, "::1", 1)) == 0

    run_on_uvloop(scenario)

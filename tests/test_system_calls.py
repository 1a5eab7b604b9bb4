"""System calls that fail for a moment, with errors that Linux documents, and what must not go wrong then."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import time
from pathlib import Path

import pytest

from quincepier.interface import AttemptOutcome
from tests.attemptkit import BID, IMAGE, FrontHarness, run_on_uvloop
from tests.faulty_front import Call, Plan, Rule
from tests.standins import Behaviour, Client, Front, ReceivedCommand, play, until

ONE = ("s-1", "o-1")
LATE_CLIENTS = 10


def serve_hit(asked: ReceivedCommand) -> None:
    asked.respond_with_data()


@pytest.mark.fleet(5)
@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "EPROTO", "EINTR"])
def test_who_waits_as_accept_fails_and_the_listener_ends_is_answered(tmp_path: Path, error: str) -> None:
    """Ten clients connect 0.3 s after SIGTERM; accept fails until 0.9 s, the listener closes at 0.75 s."""
    plan = Plan(rules=(Rule("accept", (error,), begin=0.25, end=0.9, since="term"),))

    async def scenario(front: Front) -> None:
        first = await front.connect_client()
        first.send_request(1)
        assert (await first.wait_for_response(1)).status == 200
        front.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        late_clients: list[Client] = []
        for n in range(LATE_CLIENTS):
            late_clients.append(await front.connect_client())
            late_clients[-1].send_request(10 + n)
        responses = [await client.wait_for_response(10 + n) for n, client in enumerate(late_clients)]
        assert {response.status for response in responses} <= {200, 503}
        assert await front.wait_for_exit() == 0, front.log_lines

    play(tmp_path, {"s-1": serve_hit, "p-1": serve_hit, "o-1": serve_hit}, scenario, plan=plan.text())


class FailingSocket(socket.socket):
    """A socket that takes no byte while `takes_nothing`, and whose reads fail with `error` if that is set."""

    takes_nothing, error = False, 0

    def send(self, data: object, flags: int = 0) -> int:
        if FailingSocket.takes_nothing:
            raise BlockingIOError
        return super().send(data, flags)  # type: ignore[arg-type]

    def recv_into(self, *args: object, **more: object) -> int:
        if FailingSocket.error:
            raise OSError(FailingSocket.error, "simulated")
        return super().recv_into(*args, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_connection_long_up_that_ends_with_an_error_says_nothing_of_connects(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    monkeypatch.setattr(socket, "socket", FailingSocket)

    async def scenario() -> None:
        harness = FrontHarness(ONE)
        wire = await harness.serve_one(BID)
        cache = harness.cache("o-1")
        dials_before = cache.dial_limit.max_dials
        assert dials_before > cache.dial_limit.initial_max_dials
        monkeypatch.setattr(FailingSocket, "takes_nothing", True)
        request = harness.submit(BID)
        await until(
            lambda: any(c.outgoing for c in harness.connections()), "the command waits for its socket"
        )
        monkeypatch.setattr(FailingSocket, "error", number)
        os.write(wire.sock.fileno(), b"x")  # makes the socket readable
        await until(lambda: bool(harness.outcomes(request)), "the attempt ends")
        monkeypatch.setattr(FailingSocket, "error", 0)
        monkeypatch.setattr(FailingSocket, "takes_nothing", False)
        assert harness.outcomes(request)[0] is AttemptOutcome.NOT_PROCESSED
        assert cache.dial_limit.max_dials >= dials_before
        again = await harness.wait_for_command(request)
        again.respond(request.job_id)
        assert await harness.wait_for_status(request) == 200
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH])
@pytest.mark.parametrize("call", ["socket", "connect"])
def test_a_connect_that_fails_for_want_of_the_fronts_own_is_tried_again_after_a_pause(
    monkeypatch: pytest.MonkeyPatch, call: str, number: int
) -> None:
    tries: list[float] = []
    fails = True

    class Failing(socket.socket):
        def __init__(self, *args: object, **more: object) -> None:
            if call == "socket" and "fileno" not in more:
                self.fail_or_pass()
            super().__init__(*args, **more)  # type: ignore[arg-type]

        def connect(self, address: object) -> None:
            if call == "connect":
                self.fail_or_pass()
            super().connect(address)  # type: ignore[arg-type]

        def fail_or_pass(self) -> None:
            tries.append(asyncio.get_running_loop().time())
            if fails:
                raise OSError(number, "simulated")

    async def scenario() -> None:
        nonlocal fails
        harness = FrontHarness(ONE)
        monkeypatch.setattr(socket, "socket", Failing)
        request = harness.submit(IMAGE)
        await asyncio.sleep(0.1)
        assert 2 <= len(tries) <= 20, "with pauses"
        assert not harness.outcomes(request), "the attempt has not ended"
        fails = False
        wire = await harness.wait_for_command(request)
        wire.respond(request.job_id)
        assert await harness.wait_for_status(request) == 200
        monkeypatch.undo()
        await harness.assert_settled()

    run_on_uvloop(scenario)


@pytest.mark.fleet(6)
def test_what_waited_in_the_backlog_as_accept_failed_is_sent_with_the_time_that_is_left(
    tmp_path: Path,
) -> None:
    """A client connects and sends a request; accept fails for the front's first two seconds."""
    plan = Plan(rules=(Rule("accept", ("ENFILE",), end=2.0),))

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1, "bid", HTTP_X_ALLOW_MS="4000")
        began = time.monotonic()
        origin = front.caches["o-1"]
        await until(lambda: bool(origin.commands), "the command is sent")
        left_ms = 4000 - (time.monotonic() - began) * 1000
        assert left_ms < 4000 - 500, "the request has waited"
        assert int(origin.commands[0].fields["wait"]) <= left_ms + 150
        assert (await client.wait_for_response(1)).status == 200

    play(tmp_path, {"s-1": serve_hit, "p-1": serve_hit, "o-1": serve_hit}, scenario, plan=plan.text())


@pytest.mark.fleet(9)
def test_who_waits_in_the_backlog_as_accept_fails_is_answered_half_a_second_past_its_time_at_most(
    tmp_path: Path,
) -> None:
    """A client with 40 ms left connects and sends a request while accept fails.

    Accept fails for five seconds from the start of the process, during which the front starts. Guards against
    what the soak found with seed 9448: accept failed for 0.7 s (49 failures, 11 ms apart), and the front
    answered only once accept returned the client, 0.522 s after its deadline.
    """
    plan = Plan(rules=(Rule("accept", ("ENFILE",), end=5.0),))

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        began = time.monotonic()
        client.send_request(1, HTTP_X_ALLOW_MS="40")
        await client.wait_for_response(1)
        assert time.monotonic() - began <= 0.04 + 0.5

    play(tmp_path, {"s-1": serve_hit, "p-1": serve_hit, "o-1": serve_hit}, scenario, plan=plan.text())


@pytest.mark.fleet(4)
@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS"])
def test_a_front_starts_though_no_socket_can_be_had_for_a_moment(tmp_path: Path, error: str) -> None:
    plan = Plan(rules=(Rule("socket", (error,), end=1.0),))

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200

    play(tmp_path, {"s-1": serve_hit, "p-1": serve_hit, "o-1": serve_hit}, scenario, plan=plan.text())


@pytest.mark.fleet(5)
@pytest.mark.parametrize("call", ["client.recv", "client.send"])
@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_client_whose_socket_fails_for_a_moment_keeps_its_connection(
    tmp_path: Path, call: Call, error: str
) -> None:
    """Every other call on it fails, for short and for large responses."""
    plan = Plan(rules=(Rule(call, (error,), 0.5),))
    caches: dict[str, Behaviour] = {
        "s-1": serve_hit,
        "p-1": serve_hit,
        "o-1": lambda asked: asked.respond_with_data(bytes(240_000)),
    }

    async def scenario(front: Front) -> None:
        client, served = await front.connect_client(), 0
        for n in range(1, 31):
            client.send_request(n, "bid" if n % 10 == 0 else "lot-image")
            response = await client.wait_for_response(n)
            assert response.status in (200, 503), "rejected if it waited long for its read"
            served += response.status == 200 and len(response.body) in (5, 240_000)
        assert served > 20 and not client.is_closed

    play(tmp_path, caches, scenario, plan=plan.text())

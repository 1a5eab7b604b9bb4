"""HTTP events that race with a long poll: split responses, 1xx responses, a close as the request is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from quincepier.net import watch_poll
from tests.standins import until
from tests.watchkit import IMMEDIATE_S, ReceivedPoll, WatcherRig, http_response, log_body, run_with_watcher


def send_byte_by_byte(poll: ReceivedPoll, response: bytes) -> None:
    async def pieces() -> None:
        for n in range(len(response)):
            poll.writer.write(response[n : n + 1])
            await asyncio.sleep(0.0001)

    poll.task = asyncio.ensure_future(pieces())


def send_chunked(poll: ReceivedPoll) -> None:
    content = log_body(2)
    chunks = (content[:5], content[5:6], content[6:])
    raw = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    send_byte_by_byte(poll, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + raw + b"0\r\n\r\n")


def send_after_1xx(poll: ReceivedPoll) -> None:
    poll.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, poll.writer.write, b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n")
    loop.call_later(0.02, poll.respond, 2)


def send_twice(poll: ReceivedPoll) -> None:
    poll.writer.write(2 * http_response(log_body(2)))


@pytest.mark.parametrize(
    "form",
    [
        lambda poll: send_byte_by_byte(poll, http_response(log_body(2))),
        send_chunked,
        send_after_1xx,
        send_twice,
    ],
)
def test_every_form_of_valid_response_is_read_and_the_connection_kept(
    monkeypatch: pytest.MonkeyPatch, form: Callable[[ReceivedPoll], None]
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        form(await rig.log.wait_for_poll(1))
        await rig.expect_delivered(2)
        assert (await rig.log.wait_for_poll(2)).since == 2
        assert rig.log.connection_count == 1 and not rig.checks.counts["change_log_poll_failed"]

    run_with_watcher(monkeypatch, scenario)


@pytest.mark.parametrize(
    "response",
    [
        http_response(b" " * 4096 + log_body(2)),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" + b" " * 9000,
        http_response(b"", "302 Found", "Location: http://127.0.0.1:9/changes\r\n"),
        http_response(b"", "503 Service Unavailable", "Retry-After: 60\r\n"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{",
    ],
)
def test_after_an_invalid_response_the_log_is_polled_at_once_on_a_new_connection(
    monkeypatch: pytest.MonkeyPatch, response: bytes
) -> None:
    monkeypatch.setattr(watch_poll, "MAX_RESPONSE_BYTES", 2048)

    async def scenario(rig: WatcherRig) -> None:
        poll = await rig.log.wait_for_poll(1)
        poll.writer.write(response)
        if response.endswith(b"{"):
            poll.writer.close()
        next_poll = await rig.log.wait_for_poll(2)
        assert (
            next_poll.received_at_s - poll.received_at_s < IMMEDIATE_S
            and next_poll.connection_number == 2
            and next_poll.since == 1
        )
        assert rig.checks.counts["change_log_poll_failed"] == 1
        next_poll.respond(2)
        await rig.expect_delivered(2)

    run_with_watcher(monkeypatch, scenario)


@pytest.mark.parametrize("end", ["close", "abort"])
@pytest.mark.parametrize("early", [True, False])
def test_an_idle_connection_closed_by_the_log_as_it_is_reused_is_no_failure(
    monkeypatch: pytest.MonkeyPatch, end: str, early: bool
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        def script(poll: ReceivedPoll) -> None:
            if poll.connection_number == 1 and (early or poll.since == 2):
                if poll.since == 1:
                    poll.respond(2)
                if end == "close":
                    poll.writer.close()
                elif poll.since == 2:
                    poll.writer.transport.abort()
            elif poll.since == 1:
                poll.respond(2)

        rig.log.on_poll = script
        await rig.expect_delivered(2)
        await until(
            lambda: rig.log.connection_count == 2 and rig.log.polls[-1].connection_number == 2,
            "a new connection polls",
        )
        assert (
            rig.log.polls[-1].since == 2
            and rig.log.polls[-1].received_at_s - rig.log.polls[0].received_at_s < IMMEDIATE_S
        )
        assert not rig.checks.counts["change_log_poll_failed"] and not rig.watch.failures

    run_with_watcher(monkeypatch, scenario)

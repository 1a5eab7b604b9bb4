"""What can cross a long poll as HTTP: pieces, other answers before it, a close as it is asked."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from quincepier.net import watch_poll
from tests.standins import until
from tests.watchkit import MOMENT, Ask, Rig, body, http, play


def in_bytes(ask: Ask, answer: bytes) -> None:
    async def pieces() -> None:
        for n in range(len(answer)):
            ask.writer.write(answer[n : n + 1])
            await asyncio.sleep(0.0001)

    ask.task = asyncio.ensure_future(pieces())


def chunked(ask: Ask) -> None:
    content = body(2)
    chunks = (content[:5], content[5:6], content[6:])
    raw = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    in_bytes(ask, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + raw + b"0\r\n\r\n")


def after_others(ask: Ask) -> None:
    ask.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, ask.writer.write, b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n")
    loop.call_later(0.02, ask.tell, 2)


def twice(ask: Ask) -> None:
    ask.writer.write(2 * http(body(2)))


@pytest.mark.parametrize("form", [lambda ask: in_bytes(ask, http(body(2))), chunked, after_others, twice])
def test_whatever_the_form_of_a_good_answer_it_is_heard_on_the_connection_that_stays(
    monkeypatch: pytest.MonkeyPatch, form: Callable[[Ask], None]
) -> None:
    async def story(rig: Rig) -> None:
        form(await rig.log.asked(1))
        await rig.told(2)
        assert (await rig.log.asked(2)).since == 2
        assert rig.log.connections == 1 and not rig.checks.counts["change_log_poll_failed"]

    play(monkeypatch, story)


@pytest.mark.parametrize(
    "answer",
    [
        http(b" " * 4096 + body(2)),
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n" + b" " * 9000,
        http(b"", "302 Found", "Location: http://127.0.0.1:9/changes\r\n"),
        http(b"", "503 Service Unavailable", "Retry-After: 60\r\n"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{",
    ],
)
def test_an_answer_that_is_none_is_asked_for_again_at_once_on_a_new_connection(
    monkeypatch: pytest.MonkeyPatch, answer: bytes
) -> None:
    monkeypatch.setattr(watch_poll, "MAX_RESPONSE_BYTES", 2048)

    async def story(rig: Rig) -> None:
        ask = await rig.log.asked(1)
        ask.writer.write(answer)
        if answer.endswith(b"{"):
            ask.writer.close()
        again = await rig.log.asked(2)
        assert again.at - ask.at < MOMENT and again.connection == 2 and again.since == 1
        assert rig.checks.counts["change_log_poll_failed"] == 1
        again.tell(2)
        await rig.told(2)

    play(monkeypatch, story)


@pytest.mark.parametrize("end", ["close", "abort"])
@pytest.mark.parametrize("early", [True, False])
def test_a_connection_that_the_log_closes_as_it_is_asked_once_more_is_no_outage(
    monkeypatch: pytest.MonkeyPatch, end: str, early: bool
) -> None:
    async def story(rig: Rig) -> None:
        def script(ask: Ask) -> None:
            if ask.connection == 1 and (early or ask.since == 2):
                if ask.since == 1:
                    ask.tell(2)
                if end == "close":
                    ask.writer.close()
                elif ask.since == 2:
                    ask.writer.transport.abort()
            elif ask.since == 1:
                ask.tell(2)

        rig.log.script = script
        await rig.told(2)
        await until(lambda: rig.log.connections == 2 and rig.log.asks[-1].connection == 2, "asked anew")
        assert rig.log.asks[-1].since == 2 and rig.log.asks[-1].at - rig.log.asks[0].at < MOMENT
        assert not rig.checks.counts["change_log_poll_failed"] and not rig.watch.failures

    play(monkeypatch, story)

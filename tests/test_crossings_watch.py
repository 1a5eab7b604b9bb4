"""What can cross a long poll of the change log: a move, an older answer, a gap, the start, silence."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest

from quincepier.checks import Checks
from quincepier.net import sockets, watch, watch_poll
from quincepier.net.messages import ToModule
from tests.standins import until
from tests.test_standing_told import DRAIN_GRACE, NEVER, Story, waits_on
from tests.virtual import run
from tests.watchkit import MOMENT, Ask, Log, Rig, body, http, now, play, purge

# A move to another address


def test_an_answer_of_the_old_address_in_the_turn_of_the_move_is_taken_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        new, ask = await Log().start(), await rig.log.asked(1)
        assert rig.watch.polling is not None
        rig.watch.polling.add_done_callback(lambda _: rig.move(new))  # whole, and not taken yet
        ask.tell(2)
        assert (await new.asked(1)).since == 2
        new.asks[0].tell(2, 3)
        await rig.told(2, 3)
        assert len(rig.log.asks) == 1 and rig.watch.descriptors.caches == 1

    play(monkeypatch, story)


def test_a_move_while_an_answer_is_being_taken_goes_to_the_new_address_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        new, ask, plain = await Log().start(), await rig.log.asked(1), rig.module.urge

        def urge(message: ToModule) -> None:
            plain(message)
            if rig.taken == [2]:
                rig.move(new)  # the signal comes between two events of one answer

        rig.module.urge = urge  # type: ignore[method-assign]
        ask.tell(2, 3)
        first = await new.asked(1)
        assert first.since == 3 and rig.taken == [2, 3] and first.at - ask.at < MOMENT
        assert len(rig.log.asks) == 1

    play(monkeypatch, story)


def test_a_move_during_the_pause_after_failures_asks_there_at_once_and_hears_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        new = await Log().start()
        rig.log.script = lambda ask: ask.writer.transport.abort()
        await until(lambda: rig.watch.failures >= 6, "pauses are as long as they get")
        moved = now()
        rig.move(new)
        ask = await new.asked(1)
        assert ask.at - moved < MOMENT
        ask.tell(2)
        await rig.told(2)
        assert (await new.asked(2)).since == 2  # nothing that was answered is asked for again

    play(monkeypatch, story)


def test_two_moves_in_a_row_end_at_the_second_address(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(rig: Rig) -> None:
        one, two = await Log().start(), await Log().start()
        await rig.log.asked(1)
        rig.move(one)
        rig.move(two)
        (await two.asked(1)).tell(2)
        await rig.told(2)
        assert (await two.asked(2)).since == 2 and not one.asks
        rig.move(one)
        await one.asked(1)  # while that poll waits, and in the turn in which it was sent
        rig.move(two)
        assert (await two.asked(3)).since == 2

    play(monkeypatch, story)


def test_half_an_answer_at_the_move_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(rig: Rig) -> None:
        new, ask, answer = await Log().start(), await rig.log.asked(1), http(body(2))
        ask.writer.write(answer[:-7])
        await asyncio.sleep(0.01)  # of virtual time: it passes once all is read
        rig.move(new)
        ask.writer.write(answer[-7:])  # the old address's last bytes
        assert (await new.asked(1)).since == 1
        new.asks[0].tell(2, 3)
        await rig.told(2, 3)

    play(monkeypatch, story)


def test_a_move_before_the_watch_runs_loses_no_first_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(rig: Rig) -> None:
        rig.log.script = lambda ask: ask.tell(2) if ask.since == 1 else None
        rig.watch.move()
        rig.watch.start()
        await rig.told(2)
        assert [ask.since for ask in rig.log.asks] in ([1], [1, 2])

    play(monkeypatch, story, started=False)


# What it says when it comes back


def test_an_older_number_sets_nothing_back_and_is_not_asked_for_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        (await rig.log.asked(1)).tell(2, 3, 4)
        await rig.told(2, 3, 4)
        # a log that starts anew, and does not wait; it falls silent where it is asked without end
        rig.log.script = lambda ask: ask.tell(1, 2) if len(rig.log.asks) < 200 else None
        (await rig.log.asked(2)).tell(1, 2)
        began, before = now(), len(rig.log.asks)
        await asyncio.sleep(1)
        assert len(rig.log.asks) - before <= 1 / watch.BACK_OFF + 1, "asked without a pause"
        assert {ask.since for ask in rig.log.asks[1:]} == {4} and now() - began >= 1
        rig.log.script = lambda ask: ask.tell(3, 4, 5)  # it has caught up
        await rig.told(2, 3, 4, 5)

    play(monkeypatch, story)


def test_an_answer_out_of_order_or_with_an_event_twice_is_refused_whole_and_asked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def story(rig: Rig) -> None:
        ask = await rig.log.asked(1)
        ask.tell(3, 2)
        ask = await rig.log.asked(2)
        assert ask.since == 1 and not rig.taken
        ask.tell(2, 2, 3)
        ask = await rig.log.asked(3)
        assert ask.since == 1 and not rig.taken
        ask.tell(2, 3)
        await rig.told(2, 3)
        (await rig.log.asked(4)).tell(2, 3, 4)  # the same once more, with a new one
        await rig.told(2, 3, 4)

    play(monkeypatch, story)


def test_a_gap_is_asked_for_again_and_passed_over_once_it_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    async def story(rig: Rig) -> None:
        (await rig.log.asked(1)).tell(2, 4)
        ask = await rig.log.asked(2)
        assert ask.since == 2 and rig.taken == [2]
        ask.tell(3, 4)  # it was late, not lost
        await rig.told(2, 3, 4)
        for times in range(3, 3 + watch.TRIES):
            (await rig.log.asked(times)).tell(7)
        await rig.told(2, 3, 4, 7)

    play(monkeypatch, story)


def test_a_record_that_cannot_be_read_right_behind_a_gap_holds_up_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answer = http(json.dumps({"seq": 5, "results": [{"seq": 4}, purge(5)]}).encode())

    async def story(rig: Rig) -> None:
        rig.log.script = lambda ask: ask.writer.write(answer)
        await asyncio.sleep(2)
        assert rig.taken == [5], "the event behind both is told"

    play(monkeypatch, story)


# The start


@pytest.mark.parametrize("broken", [False, True])
def test_a_front_that_is_being_told_does_not_begin_before_it_is(
    monkeypatch: pytest.MonkeyPatch, broken: bool
) -> None:
    """The first answer begins within the silence that would end the wait, and is whole after it."""
    answer = http(body(2))

    async def story(rig: Rig) -> None:
        loop, ask = asyncio.get_running_loop(), await rig.log.asked(1)
        loop.call_later(watch.QUIET - 0.01, ask.writer.write, answer[:40])
        if broken:
            loop.call_later(watch.QUIET - 0.005, ask.writer.close)
            ask = await rig.log.asked(2)
            loop.call_later(watch.QUIET - 0.02, ask.writer.write, answer)
        else:
            loop.call_later(watch.QUIET + 0.05, ask.writer.write, answer[40:])
        await rig.watch.up_to_date()
        assert rig.taken == [2], "it serves without what the log had"

    play(monkeypatch, story)


@pytest.mark.parametrize("quiet", [True, False])
def test_a_start_waits_for_a_log_no_longer_than_it_may(monkeypatch: pytest.MonkeyPatch, quiet: bool) -> None:
    async def story(rig: Rig) -> None:
        ask = await rig.log.asked(1)
        if not quiet:
            ask.writer.write(http(body(2))[:40])  # and nothing more
        began = now()
        await rig.watch.up_to_date()
        assert now() - began == pytest.approx(watch.QUIET if quiet else watch.START_WAITS, abs=0.02)
        ask.writer.write(http(body(2))[0 if quiet else 40 :])
        await rig.told(2)

    play(monkeypatch, story)


# Silence, then a drain


def silent_from_the_start(folder: Path, patch: pytest.MonkeyPatch) -> set[str]:
    """No poll is answered from before the first on; a drain, a start and a purge come right after."""

    async def story() -> set[str]:
        it = Story(folder, patch)
        it.log.response_delay_s = NEVER
        await it.start()
        it.change(it.log)
        it.told_at = it.now + it.front.watch.wait_ms / 1000 + 2
        await asyncio.sleep(0.001)
        it.log.response_delay_s = 0.0
        await it.ask_for(it.told_at - it.now + DRAIN_GRACE + 1.5)
        await it.end()
        return it.broken()

    found: set[str] = run(story(), patch)
    return found


def test_a_log_silent_before_its_first_answer_delays_no_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert silent_from_the_start(tmp_path, monkeypatch) == set()


def test_a_front_that_goes_on_listening_to_it_is_found(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    waits_on(monkeypatch)
    assert "drain" in silent_from_the_start(tmp_path, monkeypatch)


def answer_after(rig: Rig, seconds: float) -> None:
    """From now on the log tells of event 2, so long after it was asked, whoever still listens."""

    def late(ask: Ask) -> None:
        asyncio.get_running_loop().call_later(seconds, ask.tell, 2)

    rig.log.script = late


@pytest.mark.parametrize("seconds", [2.0, 3.5, 5.0])
def test_a_log_that_always_answers_late_is_heard(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Slow or crowded: later than a log that stopped is found out, each time it is asked."""

    async def story(rig: Rig) -> None:
        answer_after(rig, seconds)
        began = now()
        await rig.told(2)
        assert now() - began <= seconds + 0.1, "its first answer counts"
        asked = len(rig.log.asks)
        await asyncio.sleep(10)
        assert len(rig.log.asks) - asked <= 12, "it is not asked more often than usual"

    play(monkeypatch, story)


def test_a_log_whose_connections_come_up_late_is_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = sockets.connect

    async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        async with asyncio.timeout(timeout):
            await asyncio.sleep(1.2)
            return await plain(address, timeout, checks)

    monkeypatch.setattr(watch_poll, "connect", connect)

    async def story(rig: Rig) -> None:
        rig.log.script = lambda ask: ask.tell(2)
        await rig.told(2)

    play(monkeypatch, story)

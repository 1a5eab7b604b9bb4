"""Events that race with a long poll of the change log.

They are a change of address, an older response, a gap, the start and silence of the log.
"""

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
from tests.test_standing_told import DRAIN_GRACE_S, NEVER_S, LateEventScenario, never_overdue
from tests.virtual import run
from tests.watchkit import (
    IMMEDIATE_S,
    ReceivedPoll,
    ScriptedChangeLog,
    WatcherRig,
    http_response,
    log_body,
    loop_time,
    purge_record,
    run_with_watcher,
)

# Change of the address


def test_a_response_that_races_with_the_address_change_is_delivered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        new, poll = await ScriptedChangeLog().start(), await rig.log.wait_for_poll(1)
        assert rig.watch.newest_task is not None
        rig.watch.newest_task.add_done_callback(
            lambda _: rig.change_address(new)
        )  # complete, and not handled yet
        poll.respond(2)
        assert (await new.wait_for_poll(1)).since == 2
        new.polls[0].respond(2, 3)
        await rig.expect_delivered(2, 3)
        assert len(rig.log.polls) == 1 and rig.watch.descriptors.outbound == 1

    run_with_watcher(monkeypatch, scenario)


def test_an_address_change_while_events_are_delivered_applies_to_the_next_poll(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        new, poll, original = (
            await ScriptedChangeLog().start(),
            await rig.log.wait_for_poll(1),
            rig.module_mailbox.push_urgent,
        )

        def push_urgent(message: ToModule) -> None:
            original(message)
            if rig.delivered == [2]:
                rig.change_address(new)  # the signal arrives between two events of one response

        rig.module_mailbox.push_urgent = push_urgent  # type: ignore[method-assign]
        poll.respond(2, 3)
        first = await new.wait_for_poll(1)
        assert (
            first.since == 3
            and rig.delivered == [2, 3]
            and first.received_at_s - poll.received_at_s < IMMEDIATE_S
        )
        assert len(rig.log.polls) == 1

    run_with_watcher(monkeypatch, scenario)


def test_an_address_change_during_backoff_polls_the_new_address_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        new = await ScriptedChangeLog().start()
        rig.log.on_poll = lambda poll: poll.writer.transport.abort()
        await until(lambda: rig.watch.failures >= 6, "the backoff has reached its maximum")
        moved = loop_time()
        rig.change_address(new)
        poll = await new.wait_for_poll(1)
        assert poll.received_at_s - moved < IMMEDIATE_S
        poll.respond(2)
        await rig.expect_delivered(2)
        assert (await new.wait_for_poll(2)).since == 2  # delivered events are not requested again

    run_with_watcher(monkeypatch, scenario)


@pytest.mark.parametrize("outage_s", [0.5, 3.0, 8.0, 30.0])
def test_a_log_that_is_back_after_an_outage_is_asked_within_the_limit_of_its_drains(
    monkeypatch: pytest.MonkeyPatch, outage_s: float
) -> None:
    """Guards against: backoff grows to 0.75 s, and a drain of the outage is heard after its grace."""

    async def scenario(rig: WatcherRig) -> None:
        address = rig.log.address
        (await rig.log.wait_for_poll(1)).respond(2)
        poll = await rig.log.wait_for_poll(2)
        rig.log.server.close()
        poll.writer.transport.abort()
        await asyncio.sleep(outage_s)
        rig.log.server = await asyncio.start_server(rig.log._serve, *address)
        back = loop_time()
        again = await rig.log.wait_for_poll(3)
        assert again.received_at_s - back < 0.05 and again.since == 2
        assert rig.checks.counts["change_log_poll_failed"] < 120 * outage_s
        rig.log.on_poll = lambda poll: poll.writer.transport.abort()
        again.writer.transport.abort()
        before = len(rig.log.polls)
        await asyncio.sleep(4)
        assert len(rig.log.polls) - before <= 11, "one that is reached and fails is asked with backoff"

    run_with_watcher(monkeypatch, scenario)


def test_two_address_changes_in_a_row_end_at_the_second_address(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: WatcherRig) -> None:
        first, second = await ScriptedChangeLog().start(), await ScriptedChangeLog().start()
        await rig.log.wait_for_poll(1)
        rig.change_address(first)
        rig.change_address(second)
        (await second.wait_for_poll(1)).respond(2)
        await rig.expect_delivered(2)
        assert (await second.wait_for_poll(2)).since == 2 and not first.polls
        rig.change_address(first)
        await first.wait_for_poll(1)  # change while that poll waits, in the loop iteration that received it
        rig.change_address(second)
        assert (await second.wait_for_poll(3)).since == 2

    run_with_watcher(monkeypatch, scenario)


def test_half_a_response_at_the_address_change_is_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: WatcherRig) -> None:
        new, poll, response = (
            await ScriptedChangeLog().start(),
            await rig.log.wait_for_poll(1),
            http_response(log_body(2)),
        )
        poll.writer.write(response[:-7])
        await asyncio.sleep(0.01)  # virtual time, which advances once everything is read
        rig.change_address(new)
        poll.writer.write(response[-7:])  # the last bytes from the old address
        assert (await new.wait_for_poll(1)).since == 1
        new.polls[0].respond(2, 3)
        await rig.expect_delivered(2, 3)

    run_with_watcher(monkeypatch, scenario)


def test_an_address_change_before_the_watcher_runs_loses_no_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: WatcherRig) -> None:
        rig.log.on_poll = lambda poll: poll.respond(2) if poll.since == 1 else None
        rig.watch.on_address_changed()
        rig.watch.start()
        await rig.expect_delivered(2)
        assert [poll.since for poll in rig.log.polls] in ([1], [1, 2])

    run_with_watcher(monkeypatch, scenario, started=False)


# Contents of responses


def test_an_older_sequence_number_resets_nothing_and_causes_no_busy_polling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        (await rig.log.wait_for_poll(1)).respond(2, 3, 4)
        await rig.expect_delivered(2, 3, 4)
        # a restarted log that does not wait for events; it stops responding if it is polled in a busy loop
        rig.log.on_poll = lambda poll: poll.respond(1, 2) if len(rig.log.polls) < 200 else None
        (await rig.log.wait_for_poll(2)).respond(1, 2)
        began, before = loop_time(), len(rig.log.polls)
        await asyncio.sleep(1)
        assert len(rig.log.polls) - before <= 1 / watch.MIN_BACKOFF_S + 1, "polled without backoff"
        assert {poll.since for poll in rig.log.polls[1:]} == {4} and loop_time() - began >= 1
        rig.log.on_poll = lambda poll: poll.respond(3, 4, 5)  # the log has caught up
        await rig.expect_delivered(2, 3, 4, 5)

    run_with_watcher(monkeypatch, scenario)


def test_a_response_with_unordered_or_duplicate_events_is_rejected_and_polled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        poll = await rig.log.wait_for_poll(1)
        poll.respond(3, 2)
        poll = await rig.log.wait_for_poll(2)
        assert poll.since == 1 and not rig.delivered
        poll.respond(2, 2, 3)
        poll = await rig.log.wait_for_poll(3)
        assert poll.since == 1 and not rig.delivered
        poll.respond(2, 3)
        await rig.expect_delivered(2, 3)
        (await rig.log.wait_for_poll(4)).respond(2, 3, 4)  # the same events again, and a new one
        await rig.expect_delivered(2, 3, 4)

    run_with_watcher(monkeypatch, scenario)


def test_a_gap_is_polled_again_and_skipped_if_it_persists(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(rig: WatcherRig) -> None:
        (await rig.log.wait_for_poll(1)).respond(2, 4)
        poll = await rig.log.wait_for_poll(2)
        assert poll.since == 2 and rig.delivered == [2]
        poll.respond(3, 4)  # the event was late, not lost
        await rig.expect_delivered(2, 3, 4)
        for times in range(3, 3 + watch.MAX_RECORD_TRIES):
            (await rig.log.wait_for_poll(times)).respond(7)
        await rig.expect_delivered(2, 3, 4, 7)

    run_with_watcher(monkeypatch, scenario)


def test_an_invalid_record_after_a_gap_does_not_block_later_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    response = http_response(json.dumps({"seq": 5, "results": [{"seq": 4}, purge_record(5)]}).encode())

    async def scenario(rig: WatcherRig) -> None:
        rig.log.on_poll = lambda poll: poll.writer.write(response)
        await asyncio.sleep(2)
        assert rig.delivered == [5], "the event after both is delivered"

    run_with_watcher(monkeypatch, scenario)


# Start


@pytest.mark.parametrize("broken", [False, True])
def test_a_start_waits_for_a_first_response_that_has_begun(
    monkeypatch: pytest.MonkeyPatch, broken: bool
) -> None:
    """The first response begins within the quiet period that would end the wait, and is complete after it."""
    response = http_response(log_body(2))

    async def scenario(rig: WatcherRig) -> None:
        loop, poll = asyncio.get_running_loop(), await rig.log.wait_for_poll(1)
        loop.call_later(watch.QUIET_PERIOD_S - 0.01, poll.writer.write, response[:40])
        if broken:
            loop.call_later(watch.QUIET_PERIOD_S - 0.005, poll.writer.close)
            poll = await rig.log.wait_for_poll(2)
            loop.call_later(watch.QUIET_PERIOD_S - 0.02, poll.writer.write, response)
        else:
            loop.call_later(watch.QUIET_PERIOD_S + 0.05, poll.writer.write, response[40:])
        await rig.watch.wait_until_caught_up()
        assert rig.delivered == [2], "the watcher has the events of the log before the front serves"

    run_with_watcher(monkeypatch, scenario)


@pytest.mark.parametrize("quiet", [True, False])
def test_a_start_waits_for_the_log_only_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch, quiet: bool
) -> None:
    async def scenario(rig: WatcherRig) -> None:
        poll = await rig.log.wait_for_poll(1)
        if not quiet:
            poll.writer.write(http_response(log_body(2))[:40])  # and no more bytes
        began = loop_time()
        await rig.watch.wait_until_caught_up()
        assert loop_time() - began == pytest.approx(
            watch.QUIET_PERIOD_S if quiet else watch.MAX_START_WAIT_S, abs=0.02
        )
        poll.writer.write(http_response(log_body(2))[0 if quiet else 40 :])
        await rig.expect_delivered(2)

    run_with_watcher(monkeypatch, scenario)


# Silence of the log, then a drain


def silent_from_the_start(folder: Path, patch: pytest.MonkeyPatch) -> set[str]:
    """No poll gets a response, from the first on; a drain, a start and a purge follow right after."""

    async def measure() -> set[str]:
        scenario = LateEventScenario(folder, patch)
        scenario.log.response_delay_s = NEVER_S
        await scenario.start()
        scenario.append_changes(scenario.log)
        scenario.received_by_s = scenario.now + scenario.front.change_log_watcher.poll_timeout_ms / 1000 + 2
        await asyncio.sleep(0.001)
        scenario.log.response_delay_s = 0.0
        await scenario.send_requests_for(scenario.received_by_s - scenario.now + DRAIN_GRACE_S + 1.5)
        await scenario.stop()
        return scenario.find_violations()

    found: set[str] = run(measure(), patch)
    return found


def test_a_log_silent_before_its_first_response_delays_no_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert silent_from_the_start(tmp_path, monkeypatch) == set()


def test_a_watcher_that_keeps_waiting_for_it_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    never_overdue(monkeypatch)
    assert "drain" in silent_from_the_start(tmp_path, monkeypatch)


def answer_after(rig: WatcherRig, seconds: float) -> None:
    """Have the log respond with event 2 so long after each poll, whether or not the watcher still waits."""

    def late(poll: ReceivedPoll) -> None:
        asyncio.get_running_loop().call_later(seconds, poll.respond, 2)

    rig.log.on_poll = late


@pytest.mark.parametrize("seconds", [2.0, 3.5, 5.0])
def test_events_of_a_log_that_always_responds_late_are_delivered(
    monkeypatch: pytest.MonkeyPatch, seconds: float
) -> None:
    """A slow or busy log: every response takes longer than the detection of a stopped log."""

    async def scenario(rig: WatcherRig) -> None:
        answer_after(rig, seconds)
        began = loop_time()
        await rig.expect_delivered(2)
        assert loop_time() - began <= seconds + 0.1, "its first response counts"
        poll_count = len(rig.log.polls)
        await asyncio.sleep(10)
        assert len(rig.log.polls) - poll_count <= 12, "it is not polled more often than usual"

    run_with_watcher(monkeypatch, scenario)


def test_events_of_a_log_with_slow_connects_are_delivered(monkeypatch: pytest.MonkeyPatch) -> None:
    original = sockets.connect

    async def connect(address: tuple[str, int], timeout: float, checks: Checks) -> socket.socket:
        async with asyncio.timeout(timeout):
            await asyncio.sleep(1.2)
            return await original(address, timeout, checks)

    monkeypatch.setattr(watch_poll, "connect", connect)

    async def scenario(rig: WatcherRig) -> None:
        rig.log.on_poll = lambda poll: poll.respond(2)
        await rig.expect_delivered(2)

    run_with_watcher(monkeypatch, scenario)

"""A front whose process stands still for a while: stopped, or without CPU."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from tests.standins import Asked, Behaviour, Front, play, until

STOPPED = 1.0  # seconds
ALLOWED_MS, SLACK_MS = 2500, 150


def never(asked: Asked) -> None:
    pass


def never_but_hits(asked: Asked) -> None:
    if asked.fields["class"] != "bid":
        asked.data()


@pytest.mark.fleet(6)
def test_what_came_as_a_front_was_stopped_is_sent_with_the_time_that_its_client_has_left(
    tmp_path: Path,
) -> None:
    caches: dict[str, Behaviour] = {"s-1": never_but_hits, "p-1": never, "o-1": never_but_hits}

    async def scenario(front: Front) -> None:
        client = await front.client()
        client.ask(1)
        assert (await client.ended(1)).status == 200
        front.signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
        client.ask(2, "bid", HTTP_X_ALLOW_MS=str(ALLOWED_MS))
        began = time.monotonic()
        await asyncio.sleep(STOPPED)
        front.signal(signal.SIGCONT)
        origin = front.caches["o-1"]
        await until(lambda: bool(origin.asked), "it is sent on")
        left = ALLOWED_MS - (time.monotonic() - began) * 1000
        assert int(origin.asked[0].fields["wait"]) <= left + SLACK_MS
        got = await client.ended(2)
        assert got.status == 502
        assert time.monotonic() - began < ALLOWED_MS / 1000 + 0.5, "later is lost"

    play(tmp_path, caches, scenario)

"""The front in service, as a process between stand-ins: tight limits, new configurations, hostile peers."""

from __future__ import annotations

import asyncio
import json
import signal
from functools import partial
from pathlib import Path

import pytest

from quincepier.memory.budget import MB, share_out
from tests.fcgikit import call
from tests.frontkit import host
from tests.standins import Asked, Behaviour, Cache, ChangeLog, Front, play, until


def ok(asked: Asked) -> None:
    asked.data()


def silent(asked: Asked) -> None:
    """Never answers."""


def fleet(edge: Behaviour = ok, parent: Behaviour = ok, origin: Behaviour = ok) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": parent, "o-1": origin}


@pytest.mark.parametrize(("memory_mb", "sockets"), [(32, 64), (32, 256), (64, 256), (192, 1024)])
def test_tight_limits_serve_fewer_and_not_none(tmp_path: Path, memory_mb: int, sockets: int) -> None:
    async def scenario(front: Front) -> None:
        front.signal(signal.SIGKILL)
        await front.code()
        front.lines.clear()
        await front.start(limits={"cores": 0.4, "memory_mb": memory_mb, "sockets": sockets})
        client = await front.client()
        client.ask(1)
        assert (await client.ended(1)).status == 200

    play(tmp_path, fleet(lambda asked: asked.data(b"x" * 240_000)), scenario)


def test_the_memory_shared_out_stays_under_the_limit_less_what_the_program_takes() -> None:
    for limit in (32, 48, 64, 80, 96, 128, 192):
        budget = share_out(limit, 24 * MB, 20_000)
        given = budget.buffers * 16_384 + budget.bodies + budget.requests * 6144
        assert given <= max(limit * 0.85 - 24, limit * 0.1) * MB and budget.buffers >= 64
    assert share_out(192, 24 * MB, 500).requests == 500


def rewrite(front: Front, **changes: object) -> None:
    (front.folder / "config.json").write_text(json.dumps(front.config | changes))


def test_sighup_moves_the_change_log_and_carries_the_numbers_on(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        new = ChangeLog()
        await new.start()
        new.events = list(front.log.events)

        def read(times: int) -> bool:
            return sum("configuration read again" in line for line in front.lines) == times

        for times in (1, 2):
            rewrite(front, changelog=new.address)
            front.signal(signal.SIGHUP)
            await until(partial(read, times), "it is read again")
        await until(lambda: bool(new.since), "the new address is asked")
        assert new.since[0] == 1
        added = Cache(ok)
        await added.start()
        client = await front.client()
        client.ask(1, "bid", b"offer")
        assert (await client.ended(1)).status == 200 and len(front.caches["o-1"].asked) == 1
        gone = host("o-1", front.caches["o-1"].address, "origin", health="DELETED")
        new.add(fleet={"seq": 1, "whole": False, "hosts": [gone, host("o-2", added.address, "origin")]})
        await until(lambda: new.since[-1] == 2, "the change is taken")
        client.ask(2, "bid", b"offer")
        assert (await client.ended(2)).status == 200 and len(added.asked) == 1
        for server in (new.server, added.server):
            assert server is not None
            server.close()

    play(tmp_path, fleet(), scenario)


def test_a_faulty_file_at_sighup_names_the_key_and_changes_nothing(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.client()
        rewrite(front, seed=None)
        front.signal(signal.SIGHUP)
        await until(lambda: front.logged("new configuration not taken"), "the fault is told")
        assert any("seed" in line for line in front.lines if "not taken" in line)
        rewrite(front, listen="127.0.0.1:1", name="n9")
        front.signal(signal.SIGHUP)
        await until(lambda: front.logged("changed only at the next start: name, listen"), "what can't change")
        client.ask(1)
        assert (await client.ended(1)).status == 200 and not front.ended

    play(tmp_path, fleet(), scenario)


def test_sighup_before_the_front_stands_and_in_its_drain_does_not_end_it(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        front.signal(signal.SIGKILL)
        await front.code()
        front.lines.clear()
        await front.start(wait=False)
        assert front.process is not None
        status = Path(f"/proc/{front.process.pid}/status")

        def caught() -> int:
            line = next(x for x in status.read_text().splitlines() if x.startswith("SigCgt"))
            return int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1

        await until(lambda: bool(caught()), "the handler stands")
        front.signal(signal.SIGHUP)
        await until(lambda: front.logged("configuration read again"), "what came early is done later")
        front.signal(signal.SIGTERM)
        await until(lambda: front.logged("drain"), "it drains")
        while not front.ended:
            front.signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
        assert await front.code() == 0

    play(tmp_path, fleet(), scenario)


def test_a_change_log_that_stops_and_stays_open_is_asked_again(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        assert front.log.server is not None
        asked = len(front.log.since)
        front.log.broken.append(b"")  # the poll is cut with nothing said
        await until(lambda: len(front.log.since) > asked + 2, "asked again")
        front.log.stopped = True
        front.log.stalled.clear()
        await until(front.log.stalled.is_set, "a poll has come and gets nothing")
        front.log.stopped = False
        seen = len(front.log.since)
        await until(lambda: len(front.log.since) > seen, "another connection asks")
        client = await front.client()
        client.send(call(1, {"SCRIPT_NAME": "/ping"}))
        assert (await client.ended(1)).status == 200

    play(tmp_path, fleet(), scenario)

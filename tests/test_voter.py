"""The voter of a front: the leader logs and announces a committed version, even without a leader lease.

Guards against this failure: a leader's lease expires for a moment when the other voters respond late. If that
happened between a proposal and its commit, the leader adopted the version but neither logged it nor sent it
to the fronts. A step of a maintenance task was then in no front's log, and fronts received the version only
with their next lease.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from loguru import logger

from quincepier import clock
from quincepier.checks import Checks
from quincepier.consensus import ElectionTimeouts, EntryCommitted
from quincepier.net.fleet.leader import FleetSources
from quincepier.net.fleet.voter import Voter
from quincepier.rules import encode_version
from quincepier.state.file_system import FileSystem
from quincepier.state.voter_store import VoterStore
from tests.fleetkit import DRAINING_TASK, TIMINGS, VOTERS, make_version


@pytest.mark.parametrize(
    ("leader", "has_lease", "term", "is_announced"),
    [("a", True, 1, True), ("a", False, 2, True), ("a", False, 1, False), ("b", False, 2, False)],
    ids=["leads", "leads, its lease has expired", "leads in a later term, committed again", "follows"],
)
def test_a_committed_version_is_logged_and_announced_by_the_leader(
    tmp_path: Path, leader: str, has_lease: bool, term: int, is_announced: bool
) -> None:
    recipients: list[str] = []
    adopted: list[Any] = []
    logged_steps: list[str] = []

    async def scenario() -> None:
        peers: Any = SimpleNamespace(view=VOTERS, send=lambda *_: None, register_channel=lambda *_: None)
        voter = Voter(
            name="a",
            voters=VOTERS,
            storage=VoterStore(FileSystem(tmp_path)),
            seed=1,
            lease_timings=TIMINGS,
            election_timeouts=ElectionTimeouts(),
            sources=FleetSources(list, dict, lambda: VOTERS),
            peers=peers,
            send=lambda to, message: recipients.append(to),
            on_version=adopted.append,
            checks=Checks(),
        )
        lease_until_ns = clock.boot() + 60 * clock.SECOND if has_lease else 0
        raft: Any = SimpleNamespace(
            term=2, leader=leader, has_committed_in_term=True, lease_until_ns=lease_until_ns,
            propose=lambda *_: (),
        )  # fmt: skip
        voter._raft_node.raft = raft
        voter._leader.on_tick(clock.boot())
        voter._on_raft_event(EntryCommitted(1, term, encode_version(make_version(1, DRAINING_TASK))))

    sink = logger.add(
        lambda line: logged_steps.append(str(line)), format="{extra[event]} {extra[step]}", filter=_is_step
    )
    try:
        asyncio.run(scenario())
    finally:
        logger.remove(sink)
    assert len(adopted) == 1
    assert recipients == (["b", "c"] if is_announced else [])
    assert logged_steps == (["maintenance_step draining\n"] if is_announced else [])


def _is_step(record: Any) -> bool:
    return bool(record["extra"].get("event") == "maintenance_step")

"""RaftNode: messages wait for the writes that they depend on, and writes keep their order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from quincepier import clock
from quincepier.checks import Checks
from quincepier.consensus import EntryCommitted, LeaderChanged, PersistRecords, SendMessage
from quincepier.net.fleet.raft_node import STORAGE_FAILED, RaftNode
from quincepier.net.fleet.worker_thread import WorkerThread
from quincepier.state.file_system import FileSystem
from quincepier.state.voter_store import VoterStore

VOTERS = ("a", "b", "c")


class FailingStore(VoterStore):
    """A store whose writes can be made to fail."""

    def __init__(self, folder: Path) -> None:
        super().__init__(FileSystem(folder))
        self.fails = False

    def save(self, records: Any) -> int:
        if self.fails:
            raise OSError("no space left")
        return super().save(records)


class PrematureSendNode(RaftNode):
    """Mutant: sends messages before the writes that they depend on are on disk."""

    def _perform(self, actions: Any) -> None:
        super()._perform([without_ticket(action) for action in actions])


def without_ticket(action: Any) -> Any:
    return replace(action, after_ticket=0) if hasattr(action, "after_ticket") else action


@dataclass
class Outcome:
    """The result of a run of three voters.

    Attributes:
        data_by_voter: The committed entry by voter.
        sent: Sender and receiver of each message.
        checks: Counters of all voters.
    """

    data_by_voter: dict[str, bytes] = field(default_factory=dict)
    sent: list[tuple[str, str]] = field(default_factory=list)
    checks: Checks = field(default_factory=Checks)


async def run_three_voters(
    folder: Path, node_type: Callable[..., RaftNode], failing_voter: str = ""
) -> Outcome:
    """Run three voters until they commit an entry; with a failing voter, for at most four seconds."""
    nodes = dict[str, RaftNode]()
    outcome = Outcome()
    loop = asyncio.get_running_loop()

    def sender_of(name: str) -> Callable[[str, bytes], None]:
        def send(to: str, raw: bytes) -> None:
            outcome.sent.append((name, to))
            loop.call_soon(nodes[to].on_message, name, raw)

        return send

    def listener_of(name: str) -> Callable[[EntryCommitted | LeaderChanged], None]:
        def on_event(event: EntryCommitted | LeaderChanged) -> None:
            if isinstance(event, EntryCommitted) and event.data:
                outcome.data_by_voter[name] = event.data

        return on_event

    for seed, name in enumerate(VOTERS):
        store = FailingStore(folder / name)
        store.fails = name == failing_voter
        nodes[name] = node_type(
            name, VOTERS, store, WorkerThread(name), seed, sender_of(name), listener_of(name), outcome.checks
        )
    for node in nodes.values():
        node.start()
    end, proposed = loop.time() + 8.0, False
    while loop.time() < end and len(outcome.data_by_voter) < (2 if failing_voter else 3):
        for node in nodes.values():
            if clock.boot() >= node.next_tick_ns:
                node.tick()
        leader = next((node for node in nodes.values() if node.has_leader_lease), None)
        if leader is not None and not proposed:
            proposed = True
            leader.propose(b"one")
        await asyncio.sleep(0.01)
        if failing_voter and not proposed and loop.time() > end - 4.0:
            break
    return outcome


def test_three_voters_with_storage_commit_an_entry(tmp_path: Path) -> None:
    outcome = asyncio.run(run_three_voters(tmp_path, RaftNode))
    assert outcome.data_by_voter == dict.fromkeys(VOTERS, b"one")


@pytest.mark.parametrize("node_type", [RaftNode, PrematureSendNode])
def test_a_voter_whose_storage_fails_sends_nothing_that_depends_on_it(tmp_path: Path, node_type: Any) -> None:
    """All messages of a first start depend on its first record, so after a failed write none is sent."""
    outcome = asyncio.run(run_three_voters(tmp_path, node_type, failing_voter="a"))
    is_silent = not [receiver for sender, receiver in outcome.sent if sender == "a"]
    assert is_silent is (node_type is RaftNode) and outcome.checks.counts[STORAGE_FAILED] > 0


def test_a_failed_write_is_not_retried_after_a_newer_one() -> None:
    """A disk is full for a moment: an older record written later would undo the vote of a later term."""
    saved: list[Any] = []
    receivers: list[str] = []
    delayed: list[Callable[[], None]] = []
    jobs: list[tuple[Callable[[], Any], Callable[[Any], None]]] = []

    def submit(work: Callable[[], Any], on_done: Callable[[Any], None]) -> bool:
        jobs.append((work, on_done))
        return True

    def run_job(outcome: Any = None) -> None:
        work, on_done = jobs.pop(0)
        on_done(outcome or work())

    def call_later(_: float, call: Any, *args: Any) -> None:
        delayed.append(lambda: call(*args))

    thread: Any = SimpleNamespace(submit=submit, loop=SimpleNamespace(call_later=call_later))
    storage: Any = SimpleNamespace(save=saved.append)
    node = RaftNode(
        "a", VOTERS, storage, thread, 1, lambda to, raw: receivers.append(to), lambda event: None, Checks()
    )
    node.raft = SimpleNamespace(on_persisted=lambda now, ticket: [])  # type: ignore[assignment]
    node._perform(
        [
            PersistRecords(1, ("vote in 5",)),  # type: ignore[arg-type]
            PersistRecords(2, ("vote in 6",)),  # type: ignore[arg-type]
            SendMessage("b", b"", 1),
        ]
    )
    run_job(OSError("full"))
    while jobs:  # the newer write, if the node did not hold it back
        run_job()
    assert saved == receivers == []
    delayed.pop()()
    while jobs:
        run_job()
    assert saved == [("vote in 5",), ("vote in 6",)] and receivers == ["b"] and node.persisted_ticket == 2


def test_a_queue_that_is_full_when_a_write_completes_stops_the_voter_without_an_exception() -> None:
    """The next write is rejected after a write has ended and before the voter is notified of that."""
    jobs: list[Callable[[Any], None]] = []
    reported: list[int] = []

    def submit(work: Callable[[], Any], on_done: Callable[[Any], None]) -> bool:
        jobs.append(on_done)
        return len(jobs) == 1  # the second is rejected

    def on_persisted(now: int, ticket: int) -> list[Any]:
        reported.append(ticket)
        return []

    thread: Any = SimpleNamespace(submit=submit)
    storage: Any = SimpleNamespace()
    checks = Checks()
    node = RaftNode("a", VOTERS, storage, thread, 1, lambda to, raw: None, lambda event: None, checks)
    node.raft = SimpleNamespace(on_persisted=on_persisted)  # type: ignore[assignment]
    node._perform([PersistRecords(1, ()), PersistRecords(2, ())])
    jobs[0](None)
    assert node.raft is None and reported == []
    assert checks.counts[STORAGE_FAILED] == 1 and node.persisted_ticket == 1

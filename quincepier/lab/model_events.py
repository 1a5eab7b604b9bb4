"""Events of the model checker and the budget that limits them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

from quincepier.lab.voter_process import VoterProcess


@dataclass(slots=True, frozen=True)
class Budget:
    """How often each kind of event may happen in one run."""

    timeouts: int = 2
    heartbeats: int = 1
    proposals: int = 1
    crashes: int = 1
    storage_losses: int = 0
    duplicates: int = 0


class EventKind(IntEnum):
    """Kinds of events at one voter."""

    COMPLETE_WRITE = 0
    TIMEOUT = 1
    PROPOSE = 2
    CRASH = 3
    LOSE_STORAGE = 4
    DELIVER = 5


class Event(NamedTuple):
    """An event at one voter; `message` is the number of the delivered message, `data` the proposed entry."""

    kind: EventKind
    message: int = -1
    data: bytes = b""


def possible_events(process: VoterProcess, budget: Budget) -> list[tuple[Event, Budget]]:
    """Return the possible events at a voter, except deliveries, each with the remaining budget."""
    events = list[tuple[Event, Budget]]()
    is_leader = process.state.is_leader
    if process.pending_writes:
        events.append((Event(EventKind.COMPLETE_WRITE), budget))
    if is_leader and budget.heartbeats:
        events.append((Event(EventKind.TIMEOUT), replace(budget, heartbeats=budget.heartbeats - 1)))
    can_time_out = not is_leader and process.state.is_member and not process.pending_writes
    if can_time_out and budget.timeouts:
        events.append((Event(EventKind.TIMEOUT), replace(budget, timeouts=budget.timeouts - 1)))
    if is_leader and budget.proposals:
        proposal = Event(EventKind.PROPOSE, data=b"p%d" % budget.proposals)
        events.append((proposal, replace(budget, proposals=budget.proposals - 1)))
    if budget.crashes:
        events.append((Event(EventKind.CRASH), replace(budget, crashes=budget.crashes - 1)))
    if budget.storage_losses:
        spent = replace(budget, storage_losses=budget.storage_losses - 1)
        events.append((Event(EventKind.LOSE_STORAGE), spent))
    return events

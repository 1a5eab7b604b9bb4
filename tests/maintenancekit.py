"""Exploration of the maintenance model: all events up to a depth, random walks, and mutants.

`python -m tests.maintenancekit DEPTH FRONTS WALKS` prints the number of visited states, and how many
walks reached each step of a task.
"""

from __future__ import annotations

import random
import sys
import types
from collections.abc import Iterator
from itertools import count
from pathlib import Path
from typing import Any

from tests.maintenancemodel import HOSTS, ClusterModel, Components, Event, InvariantViolatedError

EventPath = tuple[Event, ...]
PARTITIONED_TICKS = 14
MUTANT_NUMBERS = count()


def load_mutant(
    module: types.ModuleType, replacements: dict[str, str], **attributes: Any
) -> types.ModuleType:
    """Return a copy of a module with replaced parts of its source text and with replaced attributes."""
    file = module.__file__
    assert file is not None
    text = Path(file).read_text()
    for old, new in replacements.items():
        assert old in text, f"{old!r} is no longer in {file}"
        text = text.replace(old, new)
    mutant = types.ModuleType(f"{module.__name__}_{next(MUTANT_NUMBERS)}")
    sys.modules[mutant.__name__] = mutant  # dataclasses look up their module by name
    exec(compile(text, file, "exec"), mutant.__dict__)
    mutant.__dict__.update(attributes)
    return mutant


def states_of_run(components: Components, front_count: int, faults: int) -> list[ClusterModel]:
    """Return the states at each version of a run without faults; both machines get maintenance."""
    model, found = ClusterModel(components, front_count, faults), list[ClusterModel]()
    while True:
        found.append(model.copy())
        for index in range(front_count):
            model.exchange_lease(index)
            model.exchange_lease(index)  # the first exchange delivers the version, the second one the lease
        number = model.version.number
        model.plan_tasks()
        work_events = [event for event in model.enabled_events() if event[0] == "work"]
        if model.version.number == number and work_events:
            model.apply(work_events[0])
            model.plan_tasks()
        if model.version.number == number:
            return found


def states_of_partition(model: ClusterModel) -> Iterator[ClusterModel]:
    """Yield the states after a partition of the last front, which sends all commands that it may send."""
    partitioned = len(model.fronts) - 1
    for _ in range(PARTITIONED_TICKS):
        front = model.fronts[partitioned]
        for host in HOSTS:
            if host not in front.attempt_ticks and model.may_send(front, host):
                model.apply(("send_command", partitioned, host))
        yield model.copy()
        for index in range(partitioned):
            model.exchange_lease(index)
            model.exchange_lease(index)
        model.apply(("plan_tasks",))
        model.apply(("tick",))


def explore(
    components: Components, front_count: int, depth: int, faults: int = 1, with_tasks: bool = True
) -> int:
    """Return the number of states reachable within `depth` events.

    With tasks, exploration starts from each state of a run, and from each state of a partition that starts
    there.

    Raises:
        InvariantViolatedError: A state violates an invariant; the text has the path to it.
    """
    starts = [ClusterModel(components, front_count, faults, with_tasks)]
    if with_tasks:
        starts = states_of_run(components, front_count, faults)
        if front_count > 1:
            starts += [model for start in starts for model in states_of_partition(start.copy())]
    visited = {model.fingerprint() for model in starts}
    frontier: list[tuple[ClusterModel, EventPath]] = [(model, ()) for model in starts]
    for _ in range(depth):
        following = list[tuple[ClusterModel, EventPath]]()
        for model, path in frontier:
            for event in model.enabled_events():
                successor = model.copy()
                apply_with_path(successor, event, path)
                fingerprint = successor.fingerprint()
                if fingerprint not in visited:
                    visited.add(fingerprint)
                    following.append((successor, (*path, event)))
        frontier = following
    return len(visited)


def apply_with_path(model: ClusterModel, event: Event, path: EventPath) -> None:
    """Apply an event; if it violates an invariant, add the path of events to the error."""
    try:
        model.apply(event)
    except InvariantViolatedError as error:
        raise InvariantViolatedError(f"{error} after {(*path, event)}") from None


DEFAULT_WEIGHT = 0.5
WEIGHT_BY_EVENT = {  # relative frequency of each event in a walk
    "exchange_lease": 8,
    "plan_tasks": 5,
    "adopt_version": 3,
    "send_command": 3,
    "end_attempt": 4,
    "tick": 2,
    "work": 5,
    "elect_leader": 0.2,
}


def count_steps_of_walks(
    components: Components, front_count: int, walks: int, length: int, seed: int, faults: int = 4
) -> dict[str, int]:
    """Run seeded random walks, longer than exploration allows; return how many reached each task step."""
    rng = random.Random(seed)
    walks_by_step = dict[str, int]()
    for _ in range(walks):
        for step in steps_of_walk(ClusterModel(components, front_count, faults), rng, length):
            walks_by_step[step] = walks_by_step.get(step, 0) + 1
    return walks_by_step


def steps_of_walk(model: ClusterModel, rng: random.Random, length: int) -> set[str]:
    """Run one random walk of `length` events and return the task steps that it reached."""
    path: EventPath = ()
    steps = set[str]()
    for _ in range(length):
        events = list(model.enabled_events())
        weights = [WEIGHT_BY_EVENT.get(event[0], DEFAULT_WEIGHT) for event in events]
        event = rng.choices(events, weights)[0]
        apply_with_path(model, event, path)
        path = (*path, event)
        if event[0] == "plan_tasks":
            steps |= {task.step.name for task in model.version.maintenance_tasks}
    return steps


if __name__ == "__main__":
    depth, front_count, walks = map(int, sys.argv[1:4])
    print("leases", explore(Components(), front_count, depth + 4, faults=2, with_tasks=False))
    print("tasks", explore(Components(), front_count, depth))
    print("walks", count_steps_of_walks(Components(), front_count, walks, 150, 1))

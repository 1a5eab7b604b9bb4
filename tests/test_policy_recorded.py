"""The policy gives exactly the actions that were recorded, event by event."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest

from quincepier import interface as io
from tests import policy_stream
from tests.policy_recording import SimulatedSite, plans, record_killed_cold

NAMES = policy_stream.names()


@pytest.mark.parametrize("name", NAMES)
def test_the_present_router_gives_the_recorded_actions(name: str) -> None:
    difference = policy_stream.replay(name)
    assert difference is None, f"{name}: {difference}"


def tagged(value: Any) -> set[tuple[str, Any]]:
    """All tags in a line; those of outcomes, statuses, states and scopes with their value."""
    if not isinstance(value, list) or not value:
        return set()
    found = set[tuple[str, Any]]().union(*map(tagged, value))
    if isinstance(value[0], str):
        found.add((value[0], value[1] if value[0] in ("outcome", "note", "state", "scope") else None))
    return found


def test_the_streams_hold_each_event_action_outcome_and_note() -> None:
    """Except the one action that the policy never takes."""
    found, hooks = set[tuple[str, Any]](), set[str]()
    for name in NAMES:
        for line in policy_stream.read(name):
            found |= tagged(line)
            hooks |= {"homes"} if line[0] == "event" and line[4] else set()
            hooks |= {"witness"} if line[0] == "event" and line[5] else set()
    tags = {tag for tag, _ in found}
    assert set(policy_stream.CLASS_BY_TAG) - tags == {"probe"}
    kinds = {
        "outcome": io.AttemptOutcome,
        "note": io.CacheStatus,
        "scope": io.UpdateScope,
        "state": io.EndpointState,
    }
    for tag, cls in kinds.items():
        assert {value for at, value in found if at == tag} == {each.value for each in cls}
    assert hooks == {"homes", "witness"}


def test_a_changed_action_is_detected_and_described(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = policy_stream.read

    def changed(name: str) -> Any:
        for number, line in enumerate(plain(name), 1):
            if number == 200 and line[0] == "event":
                line[3] = [*line[3], ["log", "never said"]]
            yield line

    monkeypatch.setattr(policy_stream, "read", changed)
    difference = policy_stream.replay(NAMES[0])
    assert difference is not None and difference.line == 200 and "never said" in difference.expected


@pytest.mark.parametrize("cls", [c for c in policy_stream.CLASS_BY_TAG.values() if hasattr(c, "__slots__")])
def test_stored_values_are_complete(cls: Any) -> None:
    """Each field is stored, in the order in which the object is constructed."""
    if hasattr(cls, "__dataclass_fields__"):
        value = cls(*range(len(fields(cls))))
        assert policy_stream.decode(policy_stream.encode(value)) == value


def test_streams_can_be_recorded_again() -> None:
    """New recordings may differ from the stored ones, as the simulated machines and clients may change."""
    site, fronts = SimulatedSite(plans()["restart"]).play(), record_killed_cold()
    assert [len(site), len(fronts)] == [3, 2] and all(len(lines) > 200 for lines in site + fronts)
    assert all(any('"recall"' in line for line in lines) for lines in (site[1], fronts[1]))

"""Cordoned machines drain in the router's endpoint list, whatever state the change log reports."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quincepier.interface import Endpoint, EndpointState, EndpointUpdate, UpdateScope
from quincepier.net.fleet.endpoint_overlay import EndpointOverlay
from tests.fleetkit import HOST_BY_NUMBER, make_endpoint

STATES = st.sampled_from(list(EndpointState))
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("cordon"), st.frozensets(st.sampled_from(list(HOST_BY_NUMBER.values())))),
        st.tuples(st.just("log"), st.tuples(st.sampled_from(list(HOST_BY_NUMBER)), STATES)),
    ),
    max_size=12,
)


class TransparentOverlay(EndpointOverlay):
    """Mutant: a change-log event ends a task."""

    def overlay(self, update: EndpointUpdate) -> EndpointUpdate:
        return update


class ForgetfulOverlay(EndpointOverlay):
    """Mutant: the router is not notified of machines that are no longer cordoned."""

    def set_cordoned(self, cordoned: frozenset[str], listed: Iterable[Endpoint]) -> EndpointUpdate | None:
        return super().set_cordoned(self.cordoned | cordoned, listed)


def is_overlaid_throughout(overlay: EndpointOverlay, events: Sequence[tuple[str, Any]]) -> bool:
    """Whether the router has the state of the change log for each uncordoned machine after each event."""
    state_in_log = {number: EndpointState.READY for number in HOST_BY_NUMBER}
    state_in_router = dict(state_in_log)

    def update_router(update: EndpointUpdate | None) -> None:
        for machine in update.endpoints if update is not None else ():
            state_in_router[machine.number] = machine.state

    cordoned: frozenset[str] = frozenset()
    for event, value in events:
        if event == "cordon":
            cordoned = value
            listed = [
                make_endpoint(number, state)
                for number, state in state_in_log.items()
                if state is not EndpointState.GONE
            ]
            update_router(overlay.set_cordoned(cordoned, listed))
        else:
            number, state = value
            state_in_log[number] = state
            update = EndpointUpdate(UpdateScope.CHANGES, (make_endpoint(number, state),))
            update_router(overlay.overlay(update))
        for number, state in state_in_log.items():
            must_drain = HOST_BY_NUMBER[number] in cordoned and state is EndpointState.READY
            if state_in_router[number] is not (EndpointState.DRAINING if must_drain else state):
                return False
    return True


@examples(derandomize=True, max_examples=300)
@given(EVENTS)
def test_cordoned_machines_drain_whatever_the_log_says(events: list[tuple[str, Any]]) -> None:
    assert is_overlaid_throughout(EndpointOverlay(HOST_BY_NUMBER), events)


@pytest.mark.parametrize("mutant", [TransparentOverlay, ForgetfulOverlay])
def test_the_property_detects_a_faulty_overlay(mutant: type[EndpointOverlay]) -> None:
    events = [("cordon", frozenset({"s-1"})), ("log", (1, EndpointState.READY)), ("cordon", frozenset[str]())]
    assert is_overlaid_throughout(EndpointOverlay(HOST_BY_NUMBER), events)
    assert not is_overlaid_throughout(mutant(HOST_BY_NUMBER), events)

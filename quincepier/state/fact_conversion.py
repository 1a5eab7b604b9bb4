"""Conversion between the router's learned facts, which use numbers of this process, and stored names."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from quincepier import interface as io
from quincepier.state.learned_state import (
    MAX_MACHINES,
    MAX_NAME_LENGTH,
    MAX_PURGES,
    AddressBackoffRecord,
    BaselineLatencyRecord,
    CapacityRecord,
    FetchLimitRecord,
    LearnedState,
    MachineRecord,
    PurgeRecord,
    ServiceTimeRecord,
)
from quincepier.state.timestamps import Timestamp


@dataclass(slots=True, frozen=True)
class MachineIdentity:
    """One start of a machine: its host id, and its start in Unix milliseconds."""

    host: str
    started_at_ms: int


@dataclass(slots=True, frozen=True)
class NameMapping:
    """What the numbers of this process stand for.

    Attributes:
        classes: Names of the request classes by number.
        kinds: Names of the kinds of machine by number.
        identify: Gives the identity of a listed machine's number, or None.
        find_number: Gives the number of a machine that is listed with this identity, or None.
    """

    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    identify: Callable[[int], MachineIdentity | None]
    find_number: Callable[[MachineIdentity], int | None]


class LearnedStateBuilder:
    """Collects facts one by one and builds the state that is written.

    Args:
        names: What the numbers in the facts stand for.
    """

    def __init__(self, names: NameMapping) -> None:
        self.names = names
        self._service_times = list[ServiceTimeRecord]()
        self._baseline_latencies = list[BaselineLatencyRecord]()
        self._fetch_limit: FetchLimitRecord | None = None
        self._capacities = list[CapacityRecord]()
        self._machines = list[MachineRecord]()
        self._purges = list[PurgeRecord]()
        self._address_backoffs = list[AddressBackoffRecord]()

    def add(self, fact: io.Learned) -> None:
        """Add a fact; one that has no name here, or is over a limit, is left out."""
        match fact:
            case io.LearnedTransferTime(cls, mean, seen, ago):
                self._add_service_time(cls, mean, seen, ago)
            case io.LearnedLatency():
                self._add_baseline_latency(fact)
            case io.LearnedFetchLimit(limit, ago):
                self._fetch_limit = FetchLimitRecord(limit, ago)
            case io.LearnedServedWork(kind, work, span, ago):
                if kind < len(self.names.kinds):
                    self._capacities.append(CapacityRecord(self.names.kinds[kind], work, span, ago))
            case io.LearnedEndpoint():
                self._add_machine(fact)
            case io.LearnedPurge(group, object_id, ago):
                if len(self._purges) < MAX_PURGES:
                    self._purges.append(PurgeRecord(group, object_id, ago))

    def add_address_backoff(self, record: AddressBackoffRecord) -> None:
        """Add an address that is in backoff."""
        self._address_backoffs.append(record)

    def _add_service_time(self, cls: int, mean_ns: float, sample_count: int, age_ns: int) -> None:
        if cls < len(self.names.classes):
            name = self.names.classes[cls]
            self._service_times.append(ServiceTimeRecord(name, mean_ns, sample_count, age_ns))

    def _add_baseline_latency(self, fact: io.LearnedLatency) -> None:
        if fact.class_index < len(self.names.classes):
            name = self.names.classes[fact.class_index]
            record = BaselineLatencyRecord(
                name, fact.is_hit, fact.is_relative, fact.mean_log, fact.sample_count, fact.min_log, fact.age
            )
            self._baseline_latencies.append(record)

    def _add_machine(self, fact: io.LearnedEndpoint) -> None:
        identity = self.names.identify(fact.number)
        if identity is None:
            return
        record = MachineRecord(
            identity.host,
            identity.started_at_ms,
            fact.slowness,
            fact.slowness_weight,
            fact.age,
            fact.cold_start_age,
            fact.ejection_age,
            fact.drain_age,
        )
        self._machines.append(record)

    def build(self, writer: str, written_at: Timestamp) -> LearnedState:
        """Return the state of all facts added so far.

        Args:
            writer: Name of this front.
            written_at: The time of writing.
        """
        return LearnedState(
            writer=writer[:MAX_NAME_LENGTH],
            written_at=written_at,
            service_times=tuple(self._service_times),
            baseline_latencies=tuple(self._baseline_latencies),
            fetch_limit=self._fetch_limit,
            capacities=tuple(self._capacities),
            machines=tuple(self._machines[:MAX_MACHINES]),
            purges=tuple(self._purges),
            address_backoffs=tuple(self._address_backoffs[:MAX_MACHINES]),
        )


def facts_from_state(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    """Yield the facts that mean something here: known classes and kinds, machines of the same start."""
    if (limit := state.fetch_limit) is not None:
        yield io.LearnedFetchLimit(limit.limit, limit.age_ns)
    yield from _class_facts(state, names)
    yield from _capacity_facts(state, names)
    yield from _endpoint_facts(state, names)
    for purge in state.purges:
        yield io.LearnedPurge(purge.group, purge.object_id, purge.age_ns)


def _class_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    class_by_name = {name: number for number, name in enumerate(names.classes)}
    for time in state.service_times:
        if (cls := class_by_name.get(time.class_name)) is not None:
            yield io.LearnedTransferTime(cls, time.mean_ns, time.sample_count, time.age_ns)
    for latency in state.baseline_latencies:
        if (cls := class_by_name.get(latency.class_name)) is not None:
            yield _to_latency_fact(cls, latency)


def _capacity_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    kind_by_name = {name: number for number, name in enumerate(names.kinds)}
    for capacity in state.capacities:
        if (kind := kind_by_name.get(capacity.kind)) is not None:
            yield io.LearnedServedWork(kind, capacity.work, capacity.span_ns, capacity.age_ns)


def _endpoint_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    for machine in state.machines:
        number = names.find_number(MachineIdentity(machine.host, machine.started_at_ms))
        if number is not None:
            yield _to_endpoint_fact(number, machine)


def _to_latency_fact(cls: int, record: BaselineLatencyRecord) -> io.LearnedLatency:
    return io.LearnedLatency(
        cls,
        record.is_hit,
        record.is_relative,
        record.mean_log,
        record.sample_count,
        record.min_log,
        record.age_ns,
    )


def _to_endpoint_fact(number: int, record: MachineRecord) -> io.LearnedEndpoint:
    return io.LearnedEndpoint(
        number,
        record.slowness,
        record.slowness_weight,
        record.age_ns,
        record.cold_start_age_ns,
        record.ejection_age_ns,
        record.drain_age_ns,
    )

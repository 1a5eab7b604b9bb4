"""Conversion between the router's learned facts and stored records.

Facts refer to classes, kinds and machines by numbers of this process, records by names that outlive it.
"""

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
    """One start of a machine: its host id and its start time in Unix milliseconds."""

    host: str
    started_at_ms: int


@dataclass(slots=True, frozen=True)
class NameMapping:
    """Names of the classes, kinds and machines that have numbers in this process.

    Attributes:
        classes: Names of the request classes by number.
        kinds: Names of the kinds of machine by number.
        identify: Returns the identity of the machine with this number, None if it is not listed.
        find_number: Returns the number of the machine that is listed with this identity, None if there is
            none.
    """

    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    identify: Callable[[int], MachineIdentity | None]
    find_number: Callable[[MachineIdentity], int | None]


class LearnedStateBuilder:
    """Collects facts one by one and builds the state to be written.

    Args:
        names: Names for the numbers in the facts.
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
        """Add a fact; it is left out if its number has no name or a limit is reached."""
        match fact:
            case io.LearnedTransferTime(class_number, mean_ns, sample_count, age_ns):
                self._add_service_time(class_number, mean_ns, sample_count, age_ns)
            case io.LearnedLatency():
                self._add_baseline_latency(fact)
            case io.LearnedFetchLimit(limit, age_ns):
                self._fetch_limit = FetchLimitRecord(limit, age_ns)
            case io.LearnedServedWork(kind_number, work, span_ns, age_ns):
                if kind_number < len(self.names.kinds):
                    self._capacities.append(
                        CapacityRecord(self.names.kinds[kind_number], work, span_ns, age_ns)
                    )
            case io.LearnedEndpoint():
                self._add_machine(fact)
            case io.LearnedPurge(group, object_id, age_ns):
                if len(self._purges) < MAX_PURGES:
                    self._purges.append(PurgeRecord(group, object_id, age_ns))

    def add_address_backoff(self, record: AddressBackoffRecord) -> None:
        """Add the backoff of an address."""
        self._address_backoffs.append(record)

    def _add_service_time(self, class_number: int, mean_ns: float, sample_count: int, age_ns: int) -> None:
        if class_number < len(self.names.classes):
            name = self.names.classes[class_number]
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
    """Yield the facts that apply to this process: of known classes and kinds, and unrestarted machines."""
    if (limit := state.fetch_limit) is not None:
        yield io.LearnedFetchLimit(limit.limit, limit.age_ns)
    yield from _class_facts(state, names)
    yield from _capacity_facts(state, names)
    yield from _endpoint_facts(state, names)
    for purge in state.purges:
        yield io.LearnedPurge(purge.group, purge.object_id, purge.age_ns)


def _class_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    class_number_by_name = {name: number for number, name in enumerate(names.classes)}
    for service_time in state.service_times:
        if (class_number := class_number_by_name.get(service_time.class_name)) is not None:
            yield io.LearnedTransferTime(
                class_number, service_time.mean_ns, service_time.sample_count, service_time.age_ns
            )
    for latency in state.baseline_latencies:
        if (class_number := class_number_by_name.get(latency.class_name)) is not None:
            yield _to_latency_fact(class_number, latency)


def _capacity_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    kind_number_by_name = {name: number for number, name in enumerate(names.kinds)}
    for capacity in state.capacities:
        if (kind_number := kind_number_by_name.get(capacity.kind)) is not None:
            yield io.LearnedServedWork(kind_number, capacity.work, capacity.span_ns, capacity.age_ns)


def _endpoint_facts(state: LearnedState, names: NameMapping) -> Iterator[io.Learned]:
    for machine in state.machines:
        number = names.find_number(MachineIdentity(machine.host, machine.started_at_ms))
        if number is not None:
            yield _to_endpoint_fact(number, machine)


def _to_latency_fact(class_number: int, record: BaselineLatencyRecord) -> io.LearnedLatency:
    return io.LearnedLatency(
        class_number,
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

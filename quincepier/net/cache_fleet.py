"""Creates, updates and removes the actors of machines, following the endpoint list.

Thousands of machines may be listed while a front uses few: periodic work is done only for those in use.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, KeysView

from quincepier.memory.machine_directory import MachineDirectory
from quincepier.net.cache import CacheActor
from quincepier.net.cache_connection_context import CacheConnectionContext
from quincepier.wire.changelog import HostRecord


class CacheFleet:
    """One actor for each listed machine; the actor of an unlisted machine ends once nothing is open there.

    Args:
        context: What all the actors share; the table of actors is kept there.
        directory: The listed machines.
        front_count: Returns how many fronts send requests to a machine, by the name of its zone.
    """

    def __init__(
        self,
        context: CacheConnectionContext,
        directory: MachineDirectory,
        front_count: Callable[[str], int],
    ) -> None:
        self._context, self._directory, self._front_count = context, directory, front_count
        self._actor_by_number = context.actor_by_number
        self._leaving: set[int] = set()  # machines off the list that still have open connections or attempts

    def numbers(self) -> KeysView[int]:
        """Return the numbers of the machines that have an actor."""
        return self._actor_by_number.keys()

    def update_all(self, force: bool = False) -> None:
        """Apply the whole list; `force`: also unchanged addresses, as the operators' file has changed."""
        listed = dict(self._directory.listed_hosts())
        for number, record in listed.items():
            self._update_actor(number, record, force)
        for number in self._actor_by_number.keys() - listed.keys():
            self._mark_leaving(number)

    def update_changed(self, numbers: Iterable[int]) -> None:
        """Apply the list to the machines that a change of it names."""
        for number in numbers:
            entry = self._directory.find_entry(number)
            if entry is not None:
                self._update_actor(number, entry.record)
            elif number in self._actor_by_number:
                self._mark_leaving(number)

    def _update_actor(self, number: int, record: HostRecord, force: bool = False) -> None:
        actor = self._actor_by_number.get(number)
        if actor is None:
            front_count = self._front_count(record.zone)
            actor = CacheActor(self._context, number, record.host, record.address, front_count)
            self._actor_by_number[number] = actor
            actor.start()
        actor.set_addresses(record.address, record.addresses, force)
        actor.is_leaving = False  # set directly: a message might be handled only after it is listed again
        self._leaving.discard(number)

    def _mark_leaving(self, number: int) -> None:
        self._actor_by_number[number].is_leaving = True
        self._leaving.add(number)

    def sweep(self, now: int, after_pause: bool) -> None:
        """Close idle connections and end the actors of unlisted machines that have nothing open.

        Args:
            now: The time, ns.
            after_pause: This process was paused since the last sweep: no connection counts as stalled.
        """
        for actor in list(self._context.connected_actors):
            actor.sweep(now, after_pause)
        for number in list(self._leaving):
            self._end_if_done(number)
        if self._directory.has_unlisted:
            self._directory.forget_unlisted(self._actor_by_number.keys())

    def _end_if_done(self, number: int) -> None:
        actor = self._actor_by_number[number]
        if actor.in_flight or actor.connections or len(actor.mailbox):
            return
        actor.cancel()
        del self._actor_by_number[number]
        self._leaving.discard(number)
        if self._context.dialer is not None:
            self._context.dialer.remove_route(number)

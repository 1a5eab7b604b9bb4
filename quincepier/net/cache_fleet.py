"""The actors of all listed machines: made, moved and let go as the endpoint list says.

Thousands may be listed while a front uses a few: what is done again and again is done for those in use.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from quincepier.memory.machine_directory import MachineDirectory
from quincepier.net.cache import CacheActor
from quincepier.net.shared import Shared
from quincepier.wire.changelog import HostRecord


class CacheFleet:
    """An actor for every machine on the list; those of machines off it end when nothing is open.

    Args:
        shared: What all the actors use; their table is kept there.
        directory: The listed machines.
        askers: How many fronts may ask a machine of that site.
    """

    def __init__(self, shared: Shared, directory: MachineDirectory, askers: Callable[[str], int]) -> None:
        self._shared, self._directory, self._askers = shared, directory, askers
        self._actors = shared.actors
        self._leaving: set[int] = set()  # off the list, kept until nothing is open there

    def follow_all(self, anew: bool = False) -> None:
        """Follow the whole list; `anew`: the operators tell other addresses or limits."""
        listed = dict(self._directory.listed_hosts())
        for number, record in listed.items():
            self._follow(number, record, anew)
        for number in self._actors.keys() - listed.keys():
            self._let_leave(number)

    def follow_changes(self, numbers: Iterable[int]) -> None:
        """Follow the list for the machines that a change of it names."""
        for number in numbers:
            entry = self._directory.find_entry(number)
            if entry is not None:
                self._follow(number, entry.record)
            elif number in self._actors:
                self._let_leave(number)

    def _follow(self, number: int, record: HostRecord, anew: bool = False) -> None:
        actor = self._actors.get(number)
        if actor is None:
            askers = self._askers(record.zone)
            actor = CacheActor(self._shared, number, record.host, record.address, askers)
            self._actors[number] = actor
            actor.start()
        actor.move(record.address, record.addresses, anew)
        actor.leaving = False  # at once: a message could be read after it is listed again
        self._leaving.discard(number)

    def _let_leave(self, number: int) -> None:
        self._actors[number].leaving = True
        self._leaving.add(number)

    def sweep(self, now: int, late: bool) -> None:
        """Close idle connections and let go of machines that have left.

        Args:
            now: The time, ns.
            late: The front itself stood still since the last sweep: no connection counts as stalled.
        """
        for actor in list(self._shared.connected):
            actor.sweep(now, late)
        for number in list(self._leaving):
            self._end_if_done(number)
        if self._directory.has_unlisted:
            self._directory.forget_unlisted(self._actors.keys())

    def _end_if_done(self, number: int) -> None:
        actor = self._actors[number]
        if actor.out or actor.connections or len(actor.mailbox):
            return
        actor.cancel()
        del self._actors[number]
        self._leaving.discard(number)
        if self._shared.dialer is not None:
            self._shared.dialer.forget(number)

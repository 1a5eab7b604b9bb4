"""The times and counts of the agreement; docs/agreement.md has the reasons."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000


@dataclass(slots=True, frozen=True)
class ElectionTimeouts:
    """Nanoseconds and counts. A word there and back has to take less than `lease` less `beat`."""

    beat: int = 120 * MS  # between words of a leader to each voter
    ask: int = 250 * MS  # between repeats of a question of one who would lead, and of who is not taken in
    # without a leader's word before a voter stands; less than `least` no voter helps another to lead
    least: int = 1400 * MS
    most: int = 2200 * MS
    # from when a word was sent that a quorum answered; shorter than `least` by the drift of clocks
    lease: int = 1300 * MS
    install: int = 1000 * MS  # between two sendings of a whole snapshot to one voter
    keep: int = 16  # committed entries in the log before they become the snapshot
    keep_bytes: int = 256 * 1024
    open_most: int = 64  # entries that wait to be committed
    open_bytes: int = 4 * 1024 * 1024
    stores_most: int = 16  # writes that the disk has not done; more: nothing is heard
    prevote: bool = True

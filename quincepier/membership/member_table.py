"""What a front believes of each other front, and which of two claims goes before.

A claim of a higher incarnation goes before any of a lower one: only the member itself raises it. Of one
incarnation, that it left or was put out goes before that it is suspected, and that before that it is alive.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

Address = tuple[str, int]


class MemberState(IntEnum):
    ALIVE = 0
    SUSPECT = 1  # accused by some, still a member
    GONE = 2  # put out: enough accusers agreed and nobody refuted
    LEFT = 3  # it said so itself


@dataclass(slots=True)
class MemberRecord:
    """One member as this front believes it to be."""

    name: str
    address: Address
    incarnation: int
    standing: MemberState = MemberState.ALIVE
    since: int = 0  # when it got this standing; of a suspect: when it was accused first
    accusers: set[str] = field(default_factory=set)
    heard: int = 0  # when it answered this front last

    @property
    def member(self) -> bool:
        return self.standing <= MemberState.SUSPECT


def supersedes(incarnation: int, standing: MemberState, old: MemberRecord) -> bool:
    """Whether a claim changes what is believed. Further accusers of a suspect are not asked about here."""
    return (incarnation, standing) > (old.incarnation, old.standing)

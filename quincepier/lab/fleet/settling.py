"""The operators' file of a front of a rig that settles things with the others: members, voters, wishes."""

from __future__ import annotations

from quincepier.lab.fleet.places import front_address, pair_address


def sections(front: int, fronts: int, voters: int, own: int, peers: int, folder: str, more: str = "") -> str:
    """`own`: the port at which fronts hear each other, `peers`: that of the paths between them. `folder`: of
    the rig. `more`: lines of the section `agreement`.
    """

    def at(other: int) -> str:
        return f"{front_address(front)}:{own}" if other == front else f"{pair_address(front, other)}:{peers}"

    book = ", ".join(f'n{n}: "{at(n)}"' for n in range(fronts))
    voting = ", ".join(f'n{n}: "{at(n)}"' for n in range(voters))
    return f"""
log: {{format: json}}
members: {{fleet: test, fronts: {{{book}}}}}
agreement:
  voters: {{{voting}}}
  folder: {folder}/front-{front}/rules-{{name}}
  {more}
consistency: {{every_s: 2, sample: 32, witnessed: 1}}
"""

"""The operators' file of a front in a fleet with voters: membership, agreement and consistency."""

from __future__ import annotations

from quincepier.lab.fleet.loopback_addresses import front_address, pair_address


def sections(front: int, fronts: int, voters: int, own: int, peers: int, folder: str, more: str = "") -> str:
    """Return the file as YAML text.

    Args:
        front: The front whose file it is.
        fronts: Number of fronts.
        voters: Number of voters; they are the first fronts.
        own: Port on which fronts listen for each other.
        peers: Port of the relay for the paths between fronts.
        folder: Folder of the rig.
        more: More lines of the section `agreement`.
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

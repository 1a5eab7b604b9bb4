"""Each error code has one meaning, a remedy, and a row in docs/oncall.md."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterable
from pathlib import Path

import pytest

import quincepier
from quincepier.consensus import messages as consensus_messages
from quincepier.errors import PeerInputError, QuincepierError
from quincepier.membership import messages as membership_messages
from quincepier.wire.errors import ProtocolError

PAGE = Path(__file__).parent.parent / "docs" / "oncall.md"
Kind = type[QuincepierError]


def subclasses_of(kind: Kind) -> Iterable[Kind]:
    for subclass in kind.__subclasses__():
        yield subclass
        yield from subclasses_of(subclass)


def all_kinds() -> list[Kind]:
    for module in pkgutil.walk_packages(quincepier.__path__, "quincepier."):
        if module.name != "quincepier.__main__":
            importlib.import_module(module.name)
    ours = {kind for kind in subclasses_of(QuincepierError) if kind.__module__.startswith("quincepier.")}
    return sorted(ours - {PeerInputError}, key=lambda kind: (kind.__module__, kind.__name__))


def package(kind: Kind) -> str:
    return ".".join(kind.__module__.split(".")[:2])


def faults(kinds: Iterable[Kind], page: str) -> list[str]:
    """Return what is missing or ambiguous for an operator, a line each."""
    rows = {line.split("|")[1].strip(" `"): line for line in page.splitlines() if line.startswith("| `QP-")}
    owners, found = dict[str, Kind](), list[str]()
    for kind in kinds:
        first = owners.setdefault(kind.code, kind)
        if package(first) != package(kind):
            found.append(f"{kind.code}: of {package(first)} and of {package(kind)}")
        if kind.code == QuincepierError.code or not kind.code.startswith("QP-"):
            found.append(f"{kind.__name__}: no code of its own")
        elif not all(cell.strip() for cell in rows.get(kind.code, "||||").split("|")[1:-1]):
            found.append(f"{kind.code}: no row")
        if not kind.remedy.strip() or kind.remedy == QuincepierError.remedy:
            found.append(f"{kind.code}: no remedy")
    return found + [f"{code}: a row for nothing" for code in rows if code not in owners]


def test_each_code_has_one_meaning_a_remedy_and_a_row() -> None:
    kinds = all_kinds()
    assert len({package(kind) for kind in kinds}) >= 15  # the walk imports all packages
    assert faults(kinds, PAGE.read_text()) == []


def make_kind(module: str, **attributes: str) -> Kind:
    return type("Made", (QuincepierError,), {"__module__": module, **attributes})


@pytest.mark.parametrize(
    ("planted", "fault"),
    [
        ({"code": "QP-STATE", "remedy": "look"}, "QP-STATE: of planted.errors and of quincepier.state"),
        ({"code": "QP-PLANTED", "remedy": "look"}, "QP-PLANTED: no row"),
        ({"code": "QP-PLANTED", "remedy": " "}, "QP-PLANTED: no remedy"),
        ({"code": "QP-PLANTED"}, "QP-PLANTED: no remedy"),
        ({"remedy": "look"}, "Made: no code of its own"),
    ],
)
def test_missing_codes_rows_and_remedies_are_found(planted: dict[str, str], fault: str) -> None:
    kinds = [make_kind("planted.errors", **planted), *all_kinds()]
    assert fault in faults(kinds, PAGE.read_text())


def test_a_removed_emptied_or_left_over_row_is_found() -> None:
    kinds, page = all_kinds(), PAGE.read_text()
    row = next(line for line in page.splitlines() if line.startswith("| `QP-STATE`"))
    assert faults(kinds, page.replace(row + "\n", "")) == ["QP-STATE: no row"]
    assert faults(kinds, page.replace(row, "| `QP-STATE` | seen | |")) == ["QP-STATE: no row"]
    assert faults([k for k in kinds if k.code != "QP-STATE"], page) == ["QP-STATE: a row for nothing"]


def test_message_location_and_remedy_are_one_line() -> None:
    class PlantedError(QuincepierError):
        code, remedy = "QP-PLANTED", "look there"

    assert PlantedError("gone", "key.a").line() == "QP-PLANTED key.a: gone; look there"
    assert PlantedError("gone", remedy="put it back").line() == "QP-PLANTED gone; put it back"


@pytest.mark.parametrize(
    "kind", [ProtocolError, consensus_messages.InvalidMessageError, membership_messages.InvalidMessageError]
)
def test_peer_input_errors_are_created_by_exception_alone(kind: Kind) -> None:
    assert kind.__init__ is Exception.__init__
    assert kind("spoilt").line() == f"{kind.code} spoilt; {kind.remedy}"


def test_invalid_messages_are_value_errors() -> None:
    for kind in (consensus_messages.InvalidMessageError, membership_messages.InvalidMessageError):
        with pytest.raises(ValueError, match="spoilt"):
            raise kind("spoilt")

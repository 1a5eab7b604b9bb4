"""The section `agreement` of the operators' file: errors name the invalid key."""

from __future__ import annotations

from pathlib import Path

import pytest

from quincepier.lifecycle.operators import OperatorConfiguration
from quincepier.operator import OperatorError, read

VALID_SECTION = """
agreement:
  voters: {a: "127.0.0.1:1", b: "127.0.0.1:2", c: "127.0.0.1:3"}
  folder: /var/lib/quincepier/{name}/voter
"""


@pytest.mark.parametrize(
    ("text", "replacement", "message"),
    [
        (', c: "127.0.0.1:3"', "", "names 2 fronts"),
        ("127.0.0.1:3", "127.0.0.1:1", "one address twice"),
        ("127.0.0.1:3", "nowhere", "voters.c holds 'nowhere', not host:port"),
        ("/var", "var", "an absolute path is required"),
        ("voters:", "lease_ms: 400\n  report_ms: 200\n  voters:", "under 3 times report_ms"),
    ],
)
def test_an_invalid_section_is_reported_with_its_key(text: str, replacement: str, message: str) -> None:
    with pytest.raises(OperatorError, match=message):
        read(VALID_SECTION.replace(text, replacement), "operator.yaml")
    assert read(VALID_SECTION, "operator.yaml").names == ["agreement"]


def test_a_section_without_the_section_that_it_requires_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "operator.yaml"
    path.write_text(VALID_SECTION + "maintenance: {}\n")
    with pytest.raises(OperatorError, match="agreement: needs the section members: add it"):
        OperatorConfiguration(str(path))
    path.write_text(VALID_SECTION + "members: {fleet: web, fronts: {a: '127.0.0.1:1'}}\nmaintenance: {}\n")
    assert OperatorConfiguration(str(path)).file.names == ["members", "agreement", "maintenance"]

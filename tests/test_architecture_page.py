"""docs/architecture.md names modules that exist, all packages, and layers in the order that is checked."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
PACKAGE = ROOT / "quincepier"
PATH = re.compile(r"`(?:quincepier/)?((?:\w+/)*(?:\w+\.py|\w+/))`")


def named_paths(page: str) -> list[str]:
    """Paths below the package that a page names in code type, but for folders of other trees."""
    return [path for path in PATH.findall(page) if not path.startswith(("docs/", "tests/"))]


def missing_paths(page: str) -> list[str]:
    return sorted({path for path in named_paths(page) if not (PACKAGE / path).exists()})


def package_rows(page: str) -> str:
    return page.split("## Packages")[1].split("\n## ")[0]


def undescribed(page: str) -> list[str]:
    """Packages and modules right below the root that the table of packages leaves out."""
    listed = set(named_paths(package_rows(page)))
    there = {f"{path.parent.name}/" for path in PACKAGE.glob("*/__init__.py")}
    there |= {path.name for path in PACKAGE.glob("*.py")} - {"__init__.py", "__main__.py"}
    return sorted(there - listed)


def rows_out_of_order(page: str) -> list[str]:
    """Rows of the table of packages that stand above one whose layer is higher."""
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    layers = next(one["layers"] for one in contracts if one["id"] == "layers")
    place = {name.strip(): n for n, layer in enumerate(layers) for name in layer.split("|")}
    order = [(place[re.split(r"[/.]", path)[0]], path) for path in named_paths(package_rows(page))]
    return [path for (before, _), (here, path) in zip(order, order[1:], strict=False) if here < before]


def test_the_page_names_only_modules_that_exist() -> None:
    assert len(named_paths(PAGE)) > 40
    assert missing_paths(PAGE) == []


def test_the_table_has_every_package_in_the_order_of_the_layers() -> None:
    assert undescribed(PAGE) == []
    assert rows_out_of_order(PAGE) == []


@pytest.mark.parametrize(
    ("fault", "wrong"),
    [
        ("net/watch.py", "missing"),
        ("quincepier/consensus/", "undescribed"),
        ("quincepier/wire/", "undescribed"),
    ],
)
def test_a_page_that_is_out_of_date_is_found(fault: str, wrong: str) -> None:
    page = PAGE.replace(fault, "net/of_yesterday.py")
    assert (missing_paths(page) if wrong == "missing" else undescribed(page)) != []


def test_a_package_in_the_wrong_place_is_found() -> None:
    rows = PAGE.replace("| `quincepier/wire/`", "| `quincepier/lifecycle/`, `quincepier/wire/`")
    assert rows_out_of_order(rows) == ["lifecycle/"]

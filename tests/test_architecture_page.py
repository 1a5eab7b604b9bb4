"""docs/architecture.md names only modules that exist, and all packages in the order of their layers."""

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
    """Paths below quincepier that a page names in code type; paths below docs and tests are left out."""
    return [path for path in PATH.findall(page) if not path.startswith(("docs/", "tests/"))]


def missing_paths(page: str) -> list[str]:
    return sorted({path for path in named_paths(page) if not (PACKAGE / path).exists()})


def package_rows(page: str) -> str:
    return page.split("## Packages")[1].split("\n## ")[0]


def unlisted_packages(page: str) -> list[str]:
    """Packages and modules directly below quincepier that the table of packages leaves out."""
    listed = set(named_paths(package_rows(page)))
    existing = {f"{path.parent.name}/" for path in PACKAGE.glob("*/__init__.py")}
    existing |= {path.name for path in PACKAGE.glob("*.py")} - {"__init__.py", "__main__.py"}
    return sorted(existing - listed)


def rows_out_of_order(page: str) -> list[str]:
    """Paths in the table of packages that are followed by a path of a higher layer."""
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]["contracts"]
    layers = next(contract["layers"] for contract in contracts if contract["id"] == "layers")
    layer_by_name = {name.strip(): n for n, layer in enumerate(layers) for name in layer.split("|")}
    order = [(layer_by_name[re.split(r"[/.]", path)[0]], path) for path in named_paths(package_rows(page))]
    return [path for (above, _), (below, path) in zip(order, order[1:], strict=False) if below < above]


def test_the_page_names_only_modules_that_exist() -> None:
    assert len(named_paths(PAGE)) > 40
    assert missing_paths(PAGE) == []


def test_the_table_has_every_package_in_the_order_of_the_layers() -> None:
    assert unlisted_packages(PAGE) == []
    assert rows_out_of_order(PAGE) == []


@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("net/watch.py", "missing"),
        ("quincepier/consensus/", "unlisted"),
        ("quincepier/wire/", "unlisted"),
    ],
)
def test_a_page_that_is_out_of_date_is_found(path: str, fault: str) -> None:
    page = PAGE.replace(path, "net/no_such_module.py")
    assert (missing_paths(page) if fault == "missing" else unlisted_packages(page)) != []


def test_a_package_in_the_wrong_order_is_found() -> None:
    page = PAGE.replace("| `quincepier/wire/`", "| `quincepier/lifecycle/`, `quincepier/wire/`")
    assert rows_out_of_order(page) == ["lifecycle/"]

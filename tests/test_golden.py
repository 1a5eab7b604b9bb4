"""Golden files: what builds of version 0.3.0 wrote is read, and written again to the same bytes.

A file that no longer fits is a break between builds; neither it nor its line in the manifest is ever changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from tests.goldenkit import CODECS, DATAGRAM_KINDS, FOLDER, FOLDERS, MANIFEST, READERS, WRITERS, manifest

ENTRIES = manifest()


def of(*forms: str) -> list[Any]:
    return [pytest.param(entry, id=entry["file"]) for entry in ENTRIES if entry["form"] in forms]


def raw_of(entry: dict[str, Any]) -> bytes:
    return Path(FOLDER, entry["file"]).read_bytes()


def by_position(value: Any) -> Any:
    """Typed values as msgpack has them, each told by its attribute: tag, then the fields in their order."""
    if isinstance(value, msgspec.Struct):
        config = value.__struct_config__
        names = [(field.name, field.encode_name) for field in msgspec.structs.fields(value)]
        listed = [(wire, by_position(getattr(value, name))) for name, wire in names]
        if not config.array_like:
            return dict(listed)
        tag = [] if config.tag is None else [config.tag]
        return [*tag, *(one for _, one in listed)]
    if isinstance(value, list | tuple):
        return [by_position(one) for one in value]
    return value


def structs(kind: inspect.Type, value: Any) -> Iterator[tuple[inspect.StructType, list[Any]]]:
    """Each struct in a generic value, with its type and its fields' values in order."""
    if isinstance(kind, inspect.Metadata):
        yield from structs(kind.type, value)
    elif isinstance(kind, inspect.UnionType):
        for one in kind.types:
            if not isinstance(one, inspect.StructType):
                continue
            if one.tag is None or (isinstance(value, list) and value[0] == one.tag):
                yield from structs(one, value) if value is not None else ()
    elif isinstance(kind, inspect.VarTupleType):
        for one in value:
            yield from structs(kind.item_type, one)
    elif isinstance(kind, inspect.StructType):
        if kind.array_like:
            values = value if kind.tag is None else value[1:]
        else:
            assert set(value) == {field.encode_name for field in kind.fields}
            values = [value[field.encode_name] for field in kind.fields]
        yield kind, values
        for field, one in zip(kind.fields, values, strict=True):
            yield from structs(field.type, one)


def named(kind: inspect.Type) -> Iterator[type]:
    """All structs that a type may hold."""
    if isinstance(kind, inspect.Metadata):
        yield from named(kind.type)
    elif isinstance(kind, inspect.UnionType):
        for one in kind.types:
            yield from named(one)
    elif isinstance(kind, inspect.VarTupleType):
        yield from named(kind.item_type)
    elif isinstance(kind, inspect.TupleType):
        for one in kind.item_types:
            yield from named(one)
    elif isinstance(kind, inspect.StructType):
        yield kind.cls
        for field in kind.fields:
            yield from named(field.type)


@pytest.mark.parametrize("entry", of("full", "defaults", "whole"))
def test_a_message_is_read_and_written_to_the_same_bytes(entry: dict[str, Any]) -> None:
    raw, codec = raw_of(entry), CODECS[entry["codec"]]
    found = codec.decode(raw)
    assert found is not None and codec.encode(found) == raw
    if codec.kind is not None:
        assert by_position(found) == msgspec.msgpack.decode(raw)


@pytest.mark.parametrize("entry", of("full"))
def test_no_field_of_a_full_message_is_at_its_default(entry: dict[str, Any]) -> None:
    kind = inspect.type_info(CODECS[entry["codec"]].kind)
    found = list(structs(kind, msgspec.msgpack.decode(raw_of(entry))))
    assert found
    for struct, values in found:
        for field, value in zip(struct.fields, values, strict=True):
            default = field.default if field.default is not msgspec.NODEFAULT else msgspec.UNSET
            assert value != by_position(default), (struct.cls, field.name)


@pytest.mark.parametrize("codec", [name for name, codec in CODECS.items() if codec.kind is not None])
def test_no_struct_is_missing(codec: str) -> None:
    """Every tagged struct of a union, and every struct within a message, is there in full somewhere."""
    kind = inspect.type_info(CODECS[codec].kind)
    entries = [entry for entry in ENTRIES if entry["codec"] == codec and entry["form"] == "full"]
    there = {one.cls for e in entries for one, _ in structs(kind, msgspec.msgpack.decode(raw_of(e)))}
    assert there == set(named(kind))


def test_no_kind_of_datagram_is_missing() -> None:
    full = [raw_of(e) for e in ENTRIES if e["codec"] == "membership.datagram" and e["form"] == "full"]
    assert {msgspec.msgpack.decode(raw)[2] for raw in full} == DATAGRAM_KINDS


@pytest.mark.parametrize("codec", sorted(FOLDERS))
def test_a_folder_is_read_and_written_to_the_same_files(codec: str, tmp_path: Path) -> None:
    source, target = tmp_path / "source", tmp_path / "target"
    source.mkdir()
    target.mkdir()
    kept = {path.name: path.read_bytes() for path in (FOLDER / codec).iterdir()}
    for name, raw in kept.items():
        (source / name).write_bytes(raw)
    FOLDERS[codec](source, target)
    assert {path.name: path.read_bytes() for path in target.iterdir()} == kept
    assert {f"{codec}/{name}" for name in kept} == {e["file"] for e in ENTRIES if e["codec"] == codec}


@pytest.mark.parametrize("entry", of("read"))
def test_bytes_that_are_only_read_give_the_same_values(entry: dict[str, Any]) -> None:
    assert READERS[entry["codec"]](raw_of(entry)) == entry["gives"]


@pytest.mark.parametrize("entry", of("written"))
def test_values_that_are_only_written_give_the_same_bytes(entry: dict[str, Any]) -> None:
    assert WRITERS[entry["codec"]](*entry["given"]) == raw_of(entry)


def test_the_manifest_names_every_file_and_every_codec() -> None:
    there = {str(path.relative_to(FOLDER)) for path in FOLDER.rglob("*") if path.is_file()}
    assert there - {MANIFEST.name} == {entry["file"] for entry in ENTRIES}
    assert {entry["codec"] for entry in ENTRIES} == {*CODECS, *FOLDERS, *READERS, *WRITERS}

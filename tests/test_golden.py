"""Golden files: bytes that builds of version 0.3.0 wrote are read, and written again to the same bytes.

A failure is an incompatibility between builds. Neither a file nor its line in the manifest is ever changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from tests.goldenkit import (
    CODECS,
    DATAGRAM_KINDS,
    FOLDER,
    FOLDER_REWRITERS,
    MANIFEST,
    READERS,
    WRITERS,
    read_manifest,
)

ENTRIES = read_manifest()


def params_with_form(*forms: str) -> list[Any]:
    return [pytest.param(entry, id=entry["file"]) for entry in ENTRIES if entry["form"] in forms]


def read_file(entry: dict[str, Any]) -> bytes:
    return Path(FOLDER, entry["file"]).read_bytes()


def to_generic_value(value: Any) -> Any:
    """Return a typed value as msgpack would decode it without types.

    A struct becomes a list of its tag and its fields in order, or a dict by encoded names. Fields are read
    through their attributes.
    """
    if isinstance(value, msgspec.Struct):
        config = value.__struct_config__
        names = [(field.name, field.encode_name) for field in msgspec.structs.fields(value)]
        encoded_fields = [
            (encoded_name, to_generic_value(getattr(value, name))) for name, encoded_name in names
        ]
        if not config.array_like:
            return dict(encoded_fields)
        tag = [] if config.tag is None else [config.tag]
        return [*tag, *(item for _, item in encoded_fields)]
    if isinstance(value, list | tuple):
        return [to_generic_value(item) for item in value]
    return value


def iterate_structs(kind: inspect.Type, value: Any) -> Iterator[tuple[inspect.StructType, list[Any]]]:
    """Yield each struct in a generic value: its type, and the values of its fields in order."""
    if isinstance(kind, inspect.Metadata):
        yield from iterate_structs(kind.type, value)
    elif isinstance(kind, inspect.UnionType):
        for member_type in kind.types:
            if not isinstance(member_type, inspect.StructType):
                continue
            if member_type.tag is None or (isinstance(value, list) and value[0] == member_type.tag):
                yield from iterate_structs(member_type, value) if value is not None else ()
    elif isinstance(kind, inspect.VarTupleType):
        for item in value:
            yield from iterate_structs(kind.item_type, item)
    elif isinstance(kind, inspect.StructType):
        if kind.array_like:
            values = value if kind.tag is None else value[1:]
        else:
            assert set(value) == {field.encode_name for field in kind.fields}
            values = [value[field.encode_name] for field in kind.fields]
        yield kind, values
        for field, field_value in zip(kind.fields, values, strict=True):
            yield from iterate_structs(field.type, field_value)


def iterate_struct_types(kind: inspect.Type) -> Iterator[type]:
    """Yield all struct types that values of a type may contain."""
    if isinstance(kind, inspect.Metadata):
        yield from iterate_struct_types(kind.type)
    elif isinstance(kind, inspect.UnionType):
        for member_type in kind.types:
            yield from iterate_struct_types(member_type)
    elif isinstance(kind, inspect.VarTupleType):
        yield from iterate_struct_types(kind.item_type)
    elif isinstance(kind, inspect.TupleType):
        for member_type in kind.item_types:
            yield from iterate_struct_types(member_type)
    elif isinstance(kind, inspect.StructType):
        yield kind.cls
        for field in kind.fields:
            yield from iterate_struct_types(field.type)


@pytest.mark.parametrize("entry", params_with_form("full", "defaults", "whole"))
def test_a_message_is_read_and_written_to_the_same_bytes(entry: dict[str, Any]) -> None:
    raw, codec = read_file(entry), CODECS[entry["codec"]]
    decoded = codec.decode(raw)
    assert decoded is not None and codec.encode(decoded) == raw
    if codec.kind is not None:
        assert to_generic_value(decoded) == msgspec.msgpack.decode(raw)


@pytest.mark.parametrize("entry", params_with_form("full"))
def test_no_field_of_a_full_message_is_at_its_default(entry: dict[str, Any]) -> None:
    kind = inspect.type_info(CODECS[entry["codec"]].kind)
    found_structs = list(iterate_structs(kind, msgspec.msgpack.decode(read_file(entry))))
    assert found_structs
    for struct, values in found_structs:
        for field, value in zip(struct.fields, values, strict=True):
            default = field.default if field.default is not msgspec.NODEFAULT else msgspec.UNSET
            assert value != to_generic_value(default), (struct.cls, field.name)


@pytest.mark.parametrize("codec", [name for name, codec in CODECS.items() if codec.kind is not None])
def test_no_struct_is_missing(codec: str) -> None:
    """Every struct of a union and every struct within a message occurs in some file with all fields set."""
    kind = inspect.type_info(CODECS[codec].kind)
    entries = [entry for entry in ENTRIES if entry["codec"] == codec and entry["form"] == "full"]
    covered = {
        struct.cls
        for entry in entries
        for struct, _ in iterate_structs(kind, msgspec.msgpack.decode(read_file(entry)))
    }
    assert covered == set(iterate_struct_types(kind))


def test_no_kind_of_datagram_is_missing() -> None:
    full = [
        read_file(entry)
        for entry in ENTRIES
        if entry["codec"] == "membership.datagram" and entry["form"] == "full"
    ]
    assert {msgspec.msgpack.decode(raw)[2] for raw in full} == DATAGRAM_KINDS


@pytest.mark.parametrize("codec", sorted(FOLDER_REWRITERS))
def test_a_folder_is_read_and_written_to_the_same_files(codec: str, tmp_path: Path) -> None:
    source, target = tmp_path / "source", tmp_path / "target"
    source.mkdir()
    target.mkdir()
    content_by_name = {path.name: path.read_bytes() for path in (FOLDER / codec).iterdir()}
    for name, raw in content_by_name.items():
        (source / name).write_bytes(raw)
    FOLDER_REWRITERS[codec](source, target)
    assert {path.name: path.read_bytes() for path in target.iterdir()} == content_by_name
    assert {f"{codec}/{name}" for name in content_by_name} == {
        entry["file"] for entry in ENTRIES if entry["codec"] == codec
    }


@pytest.mark.parametrize("entry", params_with_form("read"))
def test_bytes_that_are_only_read_give_the_same_values(entry: dict[str, Any]) -> None:
    assert READERS[entry["codec"]](read_file(entry)) == entry["gives"]


@pytest.mark.parametrize("entry", params_with_form("written"))
def test_values_that_are_only_written_give_the_same_bytes(entry: dict[str, Any]) -> None:
    assert WRITERS[entry["codec"]](*entry["given"]) == read_file(entry)


def test_the_manifest_names_every_file_and_every_codec() -> None:
    files = {str(path.relative_to(FOLDER)) for path in FOLDER.rglob("*") if path.is_file()}
    assert files - {MANIFEST.name} == {entry["file"] for entry in ENTRIES}
    assert {entry["codec"] for entry in ENTRIES} == {*CODECS, *FOLDER_REWRITERS, *READERS, *WRITERS}

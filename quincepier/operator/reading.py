"""Reads the operators' file: libyaml parses, msgspec converts; each error has a line and a dotted key."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec
import yaml

from quincepier.config import SettingsError
from quincepier.operator.schema import SECTIONS, load_section

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_DEPTH, MAX_EVENTS = 16, 400_000  # nesting of the document, and its YAML events
MAX_REPORTED_FAULTS = 50  # further ones are only counted
S = TypeVar("S", bound=msgspec.Struct)
ConverterByType = Mapping[Any, Callable[[Any], Any]]  # makes each type from a plain value; see `schema`


class OperatorError(SettingsError):
    """The operators' file is invalid; the text has a line `FILE:LINE: key: reason` for each fault.

    Attributes:
        faults: All these lines.
    """

    code = "QP-OPERATOR"
    remedy = "correct each line that it names; check-config --operator checks the file before a start"

    def __init__(self, faults: list[str]) -> None:
        more = len(faults) - MAX_REPORTED_FAULTS
        super().__init__("\n".join(faults[:MAX_REPORTED_FAULTS] + ([f"and {more} more"] if more > 0 else [])))
        self.faults = faults


@dataclass(slots=True, frozen=True)
class OperatorFile:
    """The content of an operators' file.

    Attributes:
        sections: The sections that the file has, by their struct type.
    """

    sections: Mapping[type[msgspec.Struct], msgspec.Struct]

    def get(self, kind: type[S]) -> S | None:
        """Return the section of a struct type; None if the file does not have it."""
        found = self.sections.get(kind)
        return found if isinstance(found, kind) else None

    def get_by_name(self, name: str) -> msgspec.Struct | None:
        """Return the section of a name; None, without importing its package, if the file does not have it."""
        kinds = {f"{kind.__module__}:{kind.__name__}": kind for kind in self.sections}
        return self.sections[kinds[SECTIONS[name]]] if SECTIONS[name] in kinds else None

    @property
    def names(self) -> list[str]:
        """Names of the sections that the file has."""
        return [name for name in SECTIONS if self.get_by_name(name) is not None]


class _UnusableValueError(Exception):
    """The document can't be read far enough to find further faults."""


class _Reader:
    """Reads one file and collects its faults.

    Args:
        name: The file's name, which is part of each fault.
    """

    def __init__(self, name: str) -> None:
        self.name, self.faults = name, list[str]()

    def add_fault(self, line: int, key: str, reason: str) -> None:
        self.faults.append(f"{self.name}:{line}: {key + ': ' if key else ''}{reason}")

    def parse(self, text: str) -> yaml.Node | None:
        """Return the document's root node; None for an empty document.

        The document is checked as events first, which are parsed without recursion.
        """
        depth = count = 0
        try:
            for event in yaml.parse(text, Loader=yaml.CSafeLoader):
                line = event.start_mark.line + 1
                count += 1
                if any(getattr(event, attribute, None) for attribute in ("anchor", "tag")):
                    self.add_fault(line, "", "anchors, aliases and tags are not supported")
                    raise _UnusableValueError
                if isinstance(event, yaml.CollectionStartEvent):
                    depth += 1
                elif isinstance(event, yaml.CollectionEndEvent):
                    depth -= 1
                if depth > MAX_DEPTH or count > MAX_EVENTS:
                    self.add_fault(
                        line, "", f"more than {MAX_DEPTH} levels of nesting or {MAX_EVENTS} YAML events"
                    )
                    raise _UnusableValueError
            self.loader = yaml.CSafeLoader(text)
            return self.loader.get_single_node()
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            self.add_fault(mark.line + 1 if mark else 1, "", f"not YAML: {error.problem or error.context}")
        except yaml.YAMLError as error:
            self.add_fault(1, "", f"not YAML: {str(error).splitlines()[0]}")
        raise _UnusableValueError

    def mapping(self, node: yaml.Node, key: str) -> dict[str, yaml.Node] | None:
        """Return the values of a mapping by key; a null value is an empty mapping. None: it is no mapping."""
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return {}
        if not isinstance(node, yaml.MappingNode):
            self.add_fault(node.start_mark.line + 1, key, "expected a mapping")
            return None
        value_by_key: dict[str, yaml.Node] = {}
        for name, value in node.value:
            line = name.start_mark.line + 1
            if not isinstance(name, yaml.ScalarNode) or name.tag != "tag:yaml.org,2002:str":
                self.add_fault(line, key, f"the key {getattr(name, 'value', '…')!s:.40} is not a string")
            elif name.value in value_by_key:
                self.add_fault(line, _join_key(key, name.value), "is given twice")
            else:
                value_by_key[name.value] = value
        return value_by_key

    def value(self, node: yaml.Node, expected: Any, key: str, converter_by_type: ConverterByType) -> Any:
        """Return a node's value converted to the expected type; None if it is invalid."""
        line, fault_count = node.start_mark.line + 1, len(self.faults)
        inner, limits = _strip_annotations(expected)
        origin, arguments = get_origin(inner), get_args(inner)
        result: Any
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            result = self.struct(node, inner, key, converter_by_type)
        elif origin is dict:
            value_by_key = self.mapping(node, key)
            result = {
                name: self.value(value, arguments[1], _join_key(key, name), converter_by_type)
                for name, value in (value_by_key or {}).items()
            }
        elif origin in (tuple, list):
            if not isinstance(node, yaml.SequenceNode):
                self.add_fault(line, key, "expected a list")
                return None
            items = [
                self.value(n, arguments[0], f"{key}.{index}", converter_by_type)
                for index, n in enumerate(node.value)
            ]
            result = origin(items)
        else:
            return self.leaf(node, expected, key, converter_by_type)
        max_length = limits.max_length if limits is not None and len(self.faults) == fault_count else None
        if max_length is not None and len(result) > max_length:
            self.add_fault(line, key, f"{len(result)} items, over {max_length}")
        return result

    def leaf(self, node: yaml.Node, expected: Any, key: str, converter_by_type: ConverterByType) -> Any:
        """Return a scalar node's value converted to the expected type; None if it is invalid."""
        line = node.start_mark.line + 1
        try:
            value = self.loader.construct_object(node, deep=True)  # type: ignore[no-untyped-call]
            return (
                converter_by_type[expected](value)
                if expected in converter_by_type
                else msgspec.convert(value, expected)
            )
        except msgspec.ValidationError as error:
            self.add_fault(line, key, str(error))
        except (yaml.YAMLError, ValueError, TypeError, OverflowError) as error:
            self.add_fault(line, key, str(error).splitlines()[0] if str(error) else repr(error))
        return None

    def struct(
        self, node: yaml.Node, struct_type: type[S], key: str, converter_by_type: ConverterByType
    ) -> S | None:
        """Return a mapping node as a struct; None if it is invalid."""
        fault_count, value_by_key = len(self.faults), self.mapping(node, key)
        if value_by_key is None:
            return None
        hints = get_type_hints(struct_type, include_extras=True)
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
        arguments = {}
        for name, value in value_by_key.items():
            if name not in fields:
                known = ", ".join(fields)
                self.add_fault(
                    value.start_mark.line + 1, _join_key(key, name), f"no such key; known keys: {known}"
                )
            else:
                field = fields[name]
                arguments[field.name] = self.value(
                    value, hints[field.name], _join_key(key, name), converter_by_type
                )
        for name, field in fields.items():
            if field.required and name not in value_by_key:
                self.add_fault(node.start_mark.line + 1, _join_key(key, name), "is missing")
        if len(self.faults) > fault_count:
            return None
        try:
            return struct_type(**arguments)
        except (ValueError, TypeError) as error:
            self.add_fault(node.start_mark.line + 1, key, str(error))
            return None


def _join_key(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _strip_annotations(hint: Any) -> tuple[Any, msgspec.Meta | None]:
    """Return a type without its annotations and without None, and its limits."""
    limits = None
    if get_origin(hint) is Annotated:
        hint, *annotations = get_args(hint)
        limits = next((meta for meta in annotations if isinstance(meta, msgspec.Meta)), None)
    if get_origin(hint) in (Union, types.UnionType):
        others = [a for a in get_args(hint) if a is not type(None)]
        if len(others) == 1 and len(get_args(hint)) == 2:
            return _strip_annotations(others[0])
    return hint, limits


def read(text: str, name: str) -> OperatorFile:
    """Return the content of an operators' file.

    Args:
        text: The file's text.
        name: The file's name, for its faults.

    Raises:
        OperatorError: The file is invalid; the error has all faults.
    """
    reader, sections = _Reader(name), dict[type[msgspec.Struct], msgspec.Struct]()
    try:
        root = reader.parse(text)
        node_by_name = reader.mapping(root, "") if root is not None else {}
        for key, node in (node_by_name or {}).items():
            if key not in SECTIONS:
                known = ", ".join(SECTIONS)
                reader.add_fault(node.start_mark.line + 1, key, f"no such section; known sections: {known}")
                continue
            struct_type = load_section(key)
            struct = reader.struct(node, struct_type, key, getattr(struct_type, "MADE", {}))
            if struct is not None:
                sections[struct_type] = struct
    except _UnusableValueError:
        pass
    if reader.faults:
        raise OperatorError(reader.faults)
    return OperatorFile(sections)


def read_struct(text: str, name: str, struct_type: type[S]) -> S:
    """Return a file that consists of one struct; otherwise as `read`."""
    reader, struct = _Reader(name), None
    try:
        root = reader.parse(text)
        if root is None:
            reader.add_fault(1, "", "the file is empty")
        else:
            struct = reader.struct(root, struct_type, "", getattr(struct_type, "MADE", {}))
    except _UnusableValueError:
        pass
    if struct is None or reader.faults:
        raise OperatorError(reader.faults)
    return struct


def load(path: str) -> OperatorFile:
    """Return the content of the operators' file at a path.

    Raises:
        OperatorError: The file can't be read or is invalid.
    """
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        raise OperatorError([f"{path}: can't be read: {getattr(error, 'strerror', None) or error}"]) from None
    if len(raw) > MAX_FILE_BYTES:
        raise OperatorError([f"{path}: over {MAX_FILE_BYTES} bytes"])
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise OperatorError([f"{path}:{line}: not UTF-8 at byte {error.start}"]) from None
    return read(text, path)

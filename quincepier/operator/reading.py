"""Reading the operators' file: YAML by libyaml, types by msgspec, each fault with line and dotted key."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec
import yaml

from quincepier.config import SettingsError
from quincepier.operator.schema import SECTIONS, section

FILE_MOST = 4 * 1024 * 1024  # bytes
DEPTH_MOST, NODES_MOST = 16, 400_000
FAULTS_MOST = 50  # told; the rest is only counted
S = TypeVar("S", bound=msgspec.Struct)
Made = Mapping[Any, Callable[[Any], Any]]  # a section's own types, and what makes each of a plain value


class OperatorError(SettingsError):
    """A file that can't be used: all that is wrong with it, a line each, `FILE:LINE: key: why`."""

    code = "QP-OPERATOR"
    remedy = "correct each line that it names; check-config --operator tells before a start"

    def __init__(self, faults: list[str]) -> None:
        more = len(faults) - FAULTS_MOST
        super().__init__("\n".join(faults[:FAULTS_MOST] + ([f"and {more} more"] if more > 0 else [])))
        self.faults = faults


@dataclass(slots=True, frozen=True)
class OperatorFile:
    """The sections that the file has, by their struct."""

    sections: Mapping[type[msgspec.Struct], msgspec.Struct]

    def get(self, kind: type[S]) -> S | None:
        found = self.sections.get(kind)
        return found if isinstance(found, kind) else None

    def named(self, name: str) -> msgspec.Struct | None:
        """The section of that name; imports nothing for one that is not there."""
        kinds = {f"{kind.__module__}:{kind.__name__}": kind for kind in self.sections}
        return self.sections[kinds[SECTIONS[name]]] if SECTIONS[name] in kinds else None

    @property
    def names(self) -> list[str]:
        return [name for name in SECTIONS if self.named(name) is not None]


class _UnusableValueError(Exception):
    """No further faults can be looked for."""


class _Reader:
    def __init__(self, name: str) -> None:
        self.name, self.faults = name, list[str]()

    def fault(self, line: int, key: str, why: str) -> None:
        self.faults.append(f"{self.name}:{line}: {key + ': ' if key else ''}{why}")

    def nodes(self, text: str) -> yaml.Node | None:
        """The document as nodes. Looked over as events first: they come without recursion."""
        depth = count = 0
        try:
            for event in yaml.parse(text, Loader=yaml.CSafeLoader):
                line = event.start_mark.line + 1
                count += 1
                if any(getattr(event, word, None) for word in ("anchor", "tag")):
                    self.fault(line, "", "anchors, aliases and tags are not taken")
                    raise _UnusableValueError
                if isinstance(event, yaml.CollectionStartEvent):
                    depth += 1
                elif isinstance(event, yaml.CollectionEndEvent):
                    depth -= 1
                if depth > DEPTH_MOST or count > NODES_MOST:
                    self.fault(line, "", f"nested over {DEPTH_MOST} deep, or over {NODES_MOST} parts")
                    raise _UnusableValueError
            self.loader = yaml.CSafeLoader(text)
            return self.loader.get_single_node()
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            self.fault(mark.line + 1 if mark else 1, "", f"not YAML: {error.problem or error.context}")
        except yaml.YAMLError as error:
            self.fault(1, "", f"not YAML: {str(error).splitlines()[0]}")
        raise _UnusableValueError

    def mapping(self, node: yaml.Node, key: str) -> dict[str, yaml.Node] | None:
        """The parts of a mapping, nothing at all being an empty one; None where it is none."""
        if isinstance(node, yaml.ScalarNode) and node.tag == "tag:yaml.org,2002:null":
            return {}
        if not isinstance(node, yaml.MappingNode):
            self.fault(node.start_mark.line + 1, key, "a mapping is wanted")
            return None
        found: dict[str, yaml.Node] = {}
        for name, value in node.value:
            line = name.start_mark.line + 1
            if not isinstance(name, yaml.ScalarNode) or name.tag != "tag:yaml.org,2002:str":
                self.fault(line, key, f"the key {getattr(name, 'value', '…')!s:.40} is not a text")
            elif name.value in found:
                self.fault(line, _dotted(key, name.value), "stands there twice")
            else:
                found[name.value] = value
        return found

    def value(self, node: yaml.Node, wanted: Any, key: str, made: Made) -> Any:
        """A node as the wanted type; faults are noted and give None."""
        line, before = node.start_mark.line + 1, len(self.faults)
        inner, limits = _plain(wanted)
        origin, arguments = get_origin(inner), get_args(inner)
        result: Any
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            result = self.struct(node, inner, key, made)
        elif origin is dict:
            parts = self.mapping(node, key)
            result = {
                name: self.value(part, arguments[1], _dotted(key, name), made)
                for name, part in (parts or {}).items()
            }
        elif origin in (tuple, list):
            if not isinstance(node, yaml.SequenceNode):
                self.fault(line, key, "a list is wanted")
                return None
            items = [self.value(n, arguments[0], f"{key}.{at}", made) for at, n in enumerate(node.value)]
            result = origin(items)
        else:
            return self.leaf(node, wanted, key, made)
        most = limits.max_length if limits is not None and len(self.faults) == before else None
        if most is not None and len(result) > most:
            self.fault(line, key, f"{len(result)} parts, over {most}")
        return result

    def leaf(self, node: yaml.Node, wanted: Any, key: str, made: Made) -> Any:
        line = node.start_mark.line + 1
        try:
            value = self.loader.construct_object(node, deep=True)  # type: ignore[no-untyped-call]
            return made[wanted](value) if wanted in made else msgspec.convert(value, wanted)
        except msgspec.ValidationError as error:
            self.fault(line, key, str(error))
        except (yaml.YAMLError, ValueError, TypeError, OverflowError) as error:
            self.fault(line, key, str(error).splitlines()[0] if str(error) else repr(error))
        return None

    def struct(self, node: yaml.Node, wanted: type[S], key: str, made: Made) -> S | None:
        before, parts = len(self.faults), self.mapping(node, key)
        if parts is None:
            return None
        hints = get_type_hints(wanted, include_extras=True)
        fields = {field.encode_name: field for field in msgspec.structs.fields(wanted)}
        found = {}
        for name, part in parts.items():
            if name not in fields:
                known = ", ".join(fields)
                self.fault(part.start_mark.line + 1, _dotted(key, name), f"no such key; there are {known}")
            else:
                field = fields[name]
                found[field.name] = self.value(part, hints[field.name], _dotted(key, name), made)
        for name, field in fields.items():
            if field.required and name not in parts:
                self.fault(node.start_mark.line + 1, _dotted(key, name), "is missing")
        if len(self.faults) > before:
            return None
        try:
            return wanted(**found)
        except (ValueError, TypeError) as error:
            self.fault(node.start_mark.line + 1, key, str(error))
            return None


def _dotted(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


def _plain(wanted: Any) -> tuple[Any, msgspec.Meta | None]:
    """A type without its annotations and without None, and its limits."""
    limits = None
    if get_origin(wanted) is Annotated:
        wanted, *notes = get_args(wanted)
        limits = next((note for note in notes if isinstance(note, msgspec.Meta)), None)
    if get_origin(wanted) in (Union, types.UnionType):
        others = [a for a in get_args(wanted) if a is not type(None)]
        if len(others) == 1 and len(get_args(wanted)) == 2:
            return _plain(others[0])
    return wanted, limits


def read(text: str, name: str) -> OperatorFile:
    """The file's sections; raises OperatorError with all faults. `name` stands before each."""
    reader, sections = _Reader(name), dict[type[msgspec.Struct], msgspec.Struct]()
    try:
        root = reader.nodes(text)
        parts = reader.mapping(root, "") if root is not None else {}
        for key, node in (parts or {}).items():
            if key not in SECTIONS:
                known = ", ".join(SECTIONS)
                reader.fault(node.start_mark.line + 1, key, f"no such section; there are {known}")
                continue
            kind = section(key)
            found = reader.struct(node, kind, key, getattr(kind, "MADE", {}))
            if found is not None:
                sections[kind] = found
    except _UnusableValueError:
        pass
    if reader.faults:
        raise OperatorError(reader.faults)
    return OperatorFile(sections)


def read_struct(text: str, name: str, kind: type[S]) -> S:
    """A file that is one struct, read as the operators' file is; raises OperatorError with all faults."""
    reader, found = _Reader(name), None
    try:
        root = reader.nodes(text)
        if root is None:
            reader.fault(1, "", "the file is empty")
        else:
            found = reader.struct(root, kind, "", getattr(kind, "MADE", {}))
    except _UnusableValueError:
        pass
    if found is None or reader.faults:
        raise OperatorError(reader.faults)
    return found


def load(path: str) -> OperatorFile:
    """The file at a path, as `read` does; a file that can't be read is an OperatorError too."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(FILE_MOST + 1)
    except (OSError, ValueError) as error:
        raise OperatorError([f"{path}: can't be read: {getattr(error, 'strerror', None) or error}"]) from None
    if len(raw) > FILE_MOST:
        raise OperatorError([f"{path}: over {FILE_MOST} bytes"])
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise OperatorError([f"{path}:{line}: not UTF-8 at byte {error.start}"]) from None
    return read(text, path)

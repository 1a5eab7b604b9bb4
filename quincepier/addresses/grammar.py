"""The one grammar of addresses, and of the terms that prefer or forbid them.

    address = [ "tcp://" ] ( ipv4 | "[" ipv6 "]" ) ":" port  |  "unix:" ( path | "@" name )
    term    = "unix" | "ipv4" | "ipv6" | network

Written with parsy: docs/addresses.md tells why and against what.
"""

from __future__ import annotations

import netaddr
from parsy import ParseError, Parser, eof, generate, index, regex, string

from quincepier.addresses.address import Address, Family
from quincepier.errors import QuincepierError

MAX_TEXT_LENGTH = 256  # characters of an address; nothing longer is looked at
MAX_UNIX_PATH_BYTES = (
    108  # bytes, unix(7): a path ends in a NUL byte, a name of the abstract space begins with one
)
MAX_PORT = 65535


class AddressError(QuincepierError, ValueError):
    """A text that is no address or term. `column` counts from 1 and tells where it stops being one."""

    code = "QP-ADDRESS"
    remedy = "correct the address at the column that it names, in the list or in the operators' file"

    def __init__(self, text: str, column: int, wanted: str) -> None:
        shown = text if len(text) <= 60 else text[:57] + "..."
        super().__init__(f"{shown!r}, column {column}: {wanted}")
        self.text, self.column, self.expected = text, column, wanted


class _ParseError(Exception):
    """Raised inside the grammar where a word has the right letters and still is none."""

    def __init__(self, index: int, wanted: str) -> None:
        super().__init__(wanted)
        self.index, self.expected = index, wanted


_octet = regex(r"0|[1-9][0-9]{0,2}").desc("a number from 0 to 255 without leading zeros")


@generate
def _ipv4():  # type: ignore[no-untyped-def]
    parts = []
    for n in range(4):
        if n:
            yield string(".").desc("'.' and the next part of an IPv4 address")
        at = yield index
        part = yield _octet
        if int(part) > 255:
            raise _ParseError(at, "a number from 0 to 255")
        parts.append(part)
    return Family.IP4, ".".join(parts)


@generate
def _ipv6():  # type: ignore[no-untyped-def]
    yield string("[").desc("'[' and an IPv6 address")
    at = yield index
    text = yield regex(r"[0-9A-Fa-f:.]+").desc("an IPv6 address")
    try:
        address = netaddr.IPAddress(text, version=6)
    except (netaddr.AddrFormatError, ValueError):
        raise _ParseError(at, "an IPv6 address") from None
    yield string("]").desc("']' after the IPv6 address (zones such as %eth0 are not taken)")
    if address.is_ipv4_mapped():  # IPv4 in other clothes would pass by what forbids IPv4
        return Family.IP4, str(address.ipv4())
    return Family.IP6, str(address)


@generate
def _tcp():  # type: ignore[no-untyped-def]
    yield string("tcp://").desc("'tcp://'").optional()
    family, host = yield _ipv6 | _ipv4
    yield string(":").desc("':' and the port")
    at = yield index
    port = int((yield regex(r"[0-9]{1,5}").desc("a port")))
    if not 0 < port <= MAX_PORT:
        raise _ParseError(at, f"a port from 1 to {MAX_PORT}")
    return Address(family, host, port)


@generate
def _unix():  # type: ignore[no-untyped-def]
    yield string("unix:").desc("'unix:'")
    at = yield index
    path = yield regex(r"/[^/\x00-\x1f\x7f][^\x00-\x1f\x7f]*|@[^\x00-\x1f\x7f]+").desc("'/path' or '@name'")
    try:
        size = len(path.encode()) + (not path.startswith("@"))
    except UnicodeEncodeError:
        raise _ParseError(at, "a path that can be written as UTF-8") from None
    if size > MAX_UNIX_PATH_BYTES:
        raise _ParseError(at, f"a path that fits into {MAX_UNIX_PATH_BYTES} bytes (this one has {size})")
    return Address(Family.UNIX, path=path)


_address = (_unix | _tcp) << eof.desc("the end")


@generate
def _network():  # type: ignore[no-untyped-def]
    at = yield index
    text = yield regex(r"[0-9A-Fa-f:.]+(/[0-9]{1,3})?").desc("a network")
    try:
        return netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        raise _ParseError(at, "a network such as 10.0.0.0/8 or fd00::/8") from None


_families = [string(family.value).desc(f"'{family.value}'").result(family) for family in Family]
_term = (_families[0] | _families[1] | _families[2] | _network) << eof.desc("the end")


def _run(parser: Parser, text: object, what: str) -> object:
    if not isinstance(text, str):
        raise AddressError(str(text), 1, f"{what} is a text")
    if len(text) > MAX_TEXT_LENGTH:
        raise AddressError(text, MAX_TEXT_LENGTH + 1, f"no more than {MAX_TEXT_LENGTH} characters")
    try:
        return parser.parse(text)
    except ParseError as error:
        wanted = " or ".join(sorted(error.expected))
        raise AddressError(text, error.index + 1, f"{wanted} is wanted") from None
    except _ParseError as error:
        raise AddressError(text, error.index + 1, error.expected + " is wanted") from None


def parse(text: object) -> Address:
    """The address that a text names; raises AddressError. `parse(str(address))` is the address again."""
    found = _run(_address, text, "an address")
    assert isinstance(found, Address)
    return found


def parse_term_value(text: object) -> Family | netaddr.IPNetwork:
    """A family or a network; raises AddressError."""
    found = _run(_term, text, "a family or a network")
    assert isinstance(found, Family | netaddr.IPNetwork)
    return found

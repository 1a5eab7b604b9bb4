"""The grammar of addresses, and of the terms that prefer or forbid them.

    address = [ "tcp://" ] ( ipv4 | "[" ipv6 "]" ) ":" port  |  "unix:" ( path | "@" name )
    term    = "unix" | "ipv4" | "ipv6" | network

Written with parsy; docs/addresses.md compares the alternatives.
"""

from __future__ import annotations

import netaddr
from parsy import ParseError, Parser, eof, generate, index, regex, string

from quincepier.addresses.address import Address, Family
from quincepier.errors import QuincepierError

MAX_TEXT_LENGTH = 256  # characters of an address; longer texts are rejected unparsed
# unix(7); the NUL byte counts that ends a path or begins an abstract name.
MAX_UNIX_PATH_BYTES = 108
MAX_PORT = 65535


class AddressError(QuincepierError, ValueError):
    """A text that is not a valid address or term.

    Attributes:
        text: The text.
        column: Where the error is, counted from 1.
        expected: What was expected there.
    """

    code = "QP-ADDRESS"
    remedy = "correct the address at the column that it names, in the list or in the operators' file"

    def __init__(self, text: str, column: int, expected: str) -> None:
        shown = text if len(text) <= 60 else text[:57] + "..."
        super().__init__(f"{shown!r}, column {column}: {expected}")
        self.text, self.column, self.expected = text, column, expected


class _ParseError(Exception):
    """Raised inside the grammar where a text has the right form but an invalid value."""

    def __init__(self, index: int, expected: str) -> None:
        super().__init__(expected)
        self.index, self.expected = index, expected


_octet = regex(r"0|[1-9][0-9]{0,2}").desc("a number from 0 to 255 without leading zeros")


@generate
def _ipv4():  # type: ignore[no-untyped-def]
    octets = []
    for n in range(4):
        if n:
            yield string(".").desc("'.' and the next part of an IPv4 address")
        at = yield index
        octet = yield _octet
        if int(octet) > 255:
            raise _ParseError(at, "a number from 0 to 255")
        octets.append(octet)
    return Family.IP4, ".".join(octets)


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
    if address.is_ipv4_mapped():  # otherwise a mapped address would evade a rule that forbids IPv4
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


def _run(parser: Parser, text: object, kind: str) -> object:
    if not isinstance(text, str):
        raise AddressError(str(text), 1, f"{kind} must be a string")
    if len(text) > MAX_TEXT_LENGTH:
        raise AddressError(text, MAX_TEXT_LENGTH + 1, f"no more than {MAX_TEXT_LENGTH} characters")
    try:
        return parser.parse(text)
    except ParseError as error:
        expected = " or ".join(sorted(error.expected))
        raise AddressError(text, error.index + 1, f"{expected} is expected") from None
    except _ParseError as error:
        raise AddressError(text, error.index + 1, error.expected + " is expected") from None


def parse(text: object) -> Address:
    """Return the address that a text names; AddressError if it is invalid. Inverse of `str(address)`."""
    address = _run(_address, text, "an address")
    assert isinstance(address, Address)
    return address


def parse_term_value(text: object) -> Family | netaddr.IPNetwork:
    """Return the family or network that a text names; AddressError if it names neither."""
    value = _run(_term, text, "a family or a network")
    assert isinstance(value, Family | netaddr.IPNetwork)
    return value

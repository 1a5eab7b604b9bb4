"""FastCGI: requests in any split, records that are answered at once, and hostile input."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincepier.wire import fastcgi
from quincepier.wire.errors import ProtocolError
from tests.fcgikit import (
    ABORT,
    PARAMS,
    STDIN,
    ResponseReader,
    encode_begin,
    encode_pairs,
    encode_record,
    encode_request,
    params,
)

JOB = "9b1f03aa5c7e2d41"
DecodedItems = list[fastcgi.FastCgiRequest | fastcgi.RequestAborted | fastcgi.Reply]


def feed_in_chunks(data: bytes, cuts: list[int]) -> DecodedItems:
    decoder, items, at = fastcgi.Decoder(), DecodedItems(), 0
    for cut in [*sorted(cuts), len(data)]:
        items += decoder.feed(data[at:cut])
        at = cut
    assert not decoder.buffer
    return items


def test_request_is_the_same_at_every_cut() -> None:
    data = encode_request(1, params(JOB), b"a\r\nb" * 9, padding=7)
    complete = feed_in_chunks(data, [])
    assert complete == [fastcgi.FastCgiRequest(1, params(JOB), b"a\r\nb" * 9, True)]
    for cut in range(len(data)):
        assert feed_in_chunks(data, [cut]) == complete


@given(st.data())
def test_interleaved_requests_in_any_split(data: st.DataObject) -> None:
    bodies = {1: b"x" * 500, 2: b"", 7: b"\0\r\n" * 40}
    queues = [
        [
            encode_begin(n),
            encode_record(PARAMS, n, encode_pairs(params(JOB), long=n == 2), n),
            encode_record(PARAMS, n),
        ]
        + [encode_record(STDIN, n, body[at : at + 90]) for at in range(0, len(body), 90)]
        + [encode_record(STDIN, n)]
        for n, body in bodies.items()
    ]
    stream = b""
    while queues:
        queue = data.draw(st.sampled_from(queues))
        stream += queue.pop(0)
        queues = [q for q in queues if q]
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=12))
    items = feed_in_chunks(stream, cuts)
    assert {c.id: c.body for c in items if isinstance(c, fastcgi.FastCgiRequest)} == bodies
    assert all(
        isinstance(c, fastcgi.FastCgiRequest) and c.params == params(JOB) and not c.error for c in items
    )


def test_params_cut_over_records_and_long_lengths() -> None:
    values = {"SHORT": "v", "LONG": "x" * 300, "N" * 200: ""}
    raw = encode_pairs(values)
    for cut in range(1, len(raw)):
        data = (
            encode_begin(3)
            + encode_record(PARAMS, 3, raw[:cut])
            + encode_record(PARAMS, 3, raw[cut:])
            + encode_record(PARAMS, 3)
            + encode_record(STDIN, 3)
        )
        (item,) = fastcgi.Decoder().feed(data)
        assert isinstance(item, fastcgi.FastCgiRequest) and item.params == values


@given(st.dictionaries(st.text(st.characters(max_codepoint=255), max_size=200), st.text("ab", max_size=200)))
def test_pairs_round_trip(values: dict[str, str]) -> None:
    assert fastcgi.read_pairs(fastcgi.write_pairs(values.items())) == values


def test_only_open_requests_are_aborted() -> None:
    decoder = fastcgi.Decoder()
    assert decoder.feed(encode_begin(1) + encode_record(ABORT, 1)) == [fastcgi.RequestAborted(1)]
    assert decoder.feed(encode_record(ABORT, 1)) == []
    assert len(decoder.feed(encode_request(1, params(JOB)))) == 1  # the id is free again
    assert decoder.feed(encode_record(ABORT, 1)) == [fastcgi.RequestAborted(1)]
    decoder.feed(encode_request(1, params(JOB)))
    decoder.on_answered(1)
    assert decoder.feed(encode_record(ABORT, 1)) == []


def test_thirty_third_open_request_is_overloaded() -> None:
    decoder = fastcgi.Decoder()
    for n in range(1, 33):
        decoder.feed(encode_request(n, params(JOB)))
    (item,) = decoder.feed(encode_begin(33))
    assert item == fastcgi.Reply(fastcgi.encode_end_request(33, fastcgi.OVERLOADED), False)
    decoder.on_answered(5)
    assert decoder.feed(encode_begin(34)) == []


def test_other_roles_and_management_records() -> None:
    decoder = fastcgi.Decoder(100)
    (role,) = decoder.feed(encode_begin(1, role=3, keep=False))
    assert role == fastcgi.Reply(fastcgi.encode_end_request(1, fastcgi.UNKNOWN_ROLE), True)
    (values,) = decoder.feed(
        encode_record(9, 0, encode_pairs({"FCGI_MPXS_CONNS": "", "FCGI_MAX_CONNS": "", "OTHER": ""}))
    )
    assert isinstance(values, fastcgi.Reply)
    reader = ResponseReader()
    reader.feed(values.data)
    assert reader.management_records == [
        (10, encode_pairs({"FCGI_MPXS_CONNS": "1", "FCGI_MAX_CONNS": "100"}))
    ]
    (unknown,) = decoder.feed(encode_record(77, 0, b"what"))
    assert unknown == fastcgi.Reply(encode_record(11, 0, bytes([77]) + bytes(7)))


def test_records_of_requests_not_open_are_ignored() -> None:
    assert (
        fastcgi.Decoder().feed(
            encode_record(PARAMS, 4, b"x") + encode_record(STDIN, 4, b"y") + encode_record(200, 4)
        )
        == []
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\x02" + encode_begin(1)[1:],
        encode_begin(1) + encode_begin(1),
        encode_record(1, 1, b"abc"),
        encode_begin(1) + encode_record(STDIN, 1, b"x"),
        encode_begin(1) + encode_record(PARAMS, 1) + encode_record(PARAMS, 1, b"x"),
        encode_record(9, 0, b"\x05"),
    ],
)
def test_broken_records_raise(data: bytes) -> None:
    decoder = fastcgi.Decoder()
    with pytest.raises(ProtocolError):
        decoder.feed(data)
    with pytest.raises(ProtocolError):
        decoder.feed(encode_request(2, params(JOB)))  # and so for all later data


@pytest.mark.parametrize(
    "broken",
    [
        encode_begin(1),
        b"\x02" + encode_begin(1)[1:],
        encode_record(1, 1, b"abc"),
        encode_record(9, 0, b"\x05"),
    ],
)
def test_requests_before_a_broken_record_are_returned_and_none_after_it(broken: bytes) -> None:
    decoder = fastcgi.Decoder()
    (complete,) = decoder.feed(encode_request(1, params(JOB)) + broken + encode_request(2, params(JOB)))
    assert isinstance(complete, fastcgi.FastCgiRequest) and complete.id == 1
    assert decoder.error is not None and decoder.buffered_bytes == 0
    with pytest.raises(ProtocolError):
        decoder.feed(encode_request(2, params(JOB)))


@pytest.mark.parametrize(
    ("raw", "body", "word"),
    [
        (b"\x05\x01ab", b"", "parameter"),
        (b"\x80", b"", "parameter"),
        (b"x" * 17_000, b"", "parameters over"),
        (encode_pairs(params(JOB)), b"x" * 48_001, "body over 48000"),
    ],
)
def test_unusable_requests_are_returned_with_an_error(raw: bytes, body: bytes, word: str) -> None:
    data = (
        encode_begin(1)
        + encode_record(PARAMS, 1, raw)
        + encode_record(PARAMS, 1)
        + encode_record(STDIN, 1, body) * bool(body)
        + encode_record(STDIN, 1)
    )
    (item,) = fastcgi.Decoder().feed(data)
    assert isinstance(item, fastcgi.FastCgiRequest) and word in item.error and item.params == {}


@given(st.lists(st.binary(max_size=300), max_size=20))
def test_hostile_bytes_raise_or_pass_and_stay_bounded(parts: list[bytes]) -> None:
    decoder = fastcgi.Decoder()
    try:
        for part in parts:
            decoder.feed(part)
    except ProtocolError:
        pass
    assert len(decoder.buffer) <= 8 + 65_535 + 255 + 300
    assert len(decoder.partial_requests) <= fastcgi.MAX_OPEN_REQUESTS


def test_buffered_bytes_of_a_request_are_bounded() -> None:
    decoder = fastcgi.Decoder()
    decoder.feed(encode_begin(1))
    decoder.feed(encode_record(PARAMS, 1, b"x" * 16_000))
    assert 16_000 <= decoder.buffered_bytes <= 16_100 and decoder.oldest_partial is not None
    (rejected,) = decoder.feed(
        encode_record(PARAMS, 1, b"x" * 60_000)[:8]
    )  # its header alone shows that it is too large
    assert (
        isinstance(rejected, fastcgi.FastCgiRequest)
        and "parameters over" in rejected.error
        and not rejected.keep_connection
    )
    for _ in range(50):
        assert not decoder.feed(b"x" * 1200) and decoder.buffered_bytes == 0
    decoder.feed(encode_begin(2) + encode_record(PARAMS, 2))
    items = [item for _ in range(50) for item in decoder.feed(encode_record(STDIN, 2, b"x" * 30_000))]
    assert len(items) == 1 and "a body over" in items[0].error and decoder.buffered_bytes == 0  # type: ignore[union-attr]


def test_too_many_records_of_no_request_end_the_connection() -> None:
    decoder = fastcgi.Decoder()
    with pytest.raises(ProtocolError, match="records of no request"):
        for _ in range(fastcgi.MAX_STRAY_RECORDS + 1):
            decoder.feed(encode_record(STDIN, 7, b"x"))
    assert decoder.buffered_bytes <= 9


def test_oldest_partial_stays_the_same_until_it_is_complete() -> None:
    decoder = fastcgi.Decoder()
    assert decoder.oldest_partial is None
    decoder.feed(encode_begin(1))
    first = decoder.oldest_partial
    decoder.feed(
        encode_begin(2)
        + encode_record(PARAMS, 2, encode_pairs(params(JOB)))
        + encode_record(PARAMS, 2)
        + encode_record(STDIN, 2)
    )
    assert first is not None and decoder.oldest_partial is first
    decoder.feed(encode_record(PARAMS, 1) + encode_record(STDIN, 1))
    assert decoder.oldest_partial is None
    decoder.feed(b"\x01")
    assert decoder.oldest_partial is not None


def test_finish_closes_stdout_and_ends_once() -> None:
    reader = ResponseReader()
    reader.feed(
        fastcgi.encode_record(fastcgi.STDOUT, 6, b"Status: 200\r\n\r\nabc") + fastcgi.encode_response_end(6)
    )
    assert (
        reader.response_by_request[6].status,
        reader.response_by_request[6].body,
        reader.response_by_request[6].protocol_status,
    ) == (200, b"abc", 0)
    assert struct.unpack(">IB3x", fastcgi.encode_end_request(6)[8:]) == (0, 0)


def test_a_request_of_very_many_short_fields_is_refused_and_its_connection_stays_readable() -> None:
    """Guards against: each such head takes a millisecond and some hundred KB to decode."""
    most = {f"{n:x}": "" for n in range(fastcgi.MAX_PARAMS_COUNT)}
    assert len(fastcgi.read_pairs(fastcgi.write_pairs(most.items()))) == fastcgi.MAX_PARAMS_COUNT
    decoder = fastcgi.Decoder()
    first, second = decoder.feed(encode_request(1, most | {"one": "more"}) + encode_request(2, most))
    assert isinstance(first, fastcgi.FastCgiRequest) and isinstance(second, fastcgi.FastCgiRequest)
    assert "over 512 parameters" in first.error and not first.params and not second.error


def test_parameters_that_are_not_asked_for_are_checked_and_dropped() -> None:
    """Guards against: hundreds of fields of each request are held while others of a read are decoded."""
    decoder = fastcgi.Decoder(param_names=frozenset({"SCRIPT_NAME"}))
    pairs = [(f"FIELD_{n}", "x") for n in range(400)]
    (request,) = decoder.feed(encode_request(1, {"SCRIPT_NAME": "/ping"} | dict(pairs)))
    assert isinstance(request, fastcgi.FastCgiRequest) and request.params == {"SCRIPT_NAME": "/ping"}
    repeated = fastcgi.write_pairs([("SCRIPT_NAME", "/ping"), ("OTHER", "1"), ("OTHER", "2")])
    data = encode_begin(2) + encode_record(PARAMS, 2, repeated) + encode_record(PARAMS, 2, b"")
    (rejected,) = decoder.feed(data + encode_record(STDIN, 2, b""))
    assert isinstance(rejected, fastcgi.FastCgiRequest) and "given twice" in rejected.error

"""The caches' protocol: responses in any split, encoded commands, hostile input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quincepier.wire import lines
from quincepier.wire.errors import ProtocolError

RESPONSES = [
    (
        b"9b1f03aa5c7e2d41 data tag=4be0c1927d55a6f3,minted=1764576000123,how=pulled,lag=34 11\r\n",
        b"a\r\nb\0 0\r\nzz",
    ),
    (b"1111111111111111 unchanged tag=4be0c1927d55a6f3 0\r\n", b""),
    (b"2222222222222222 absent how=rode 0\r\n", b""),
    (b"probe1 well stats=inflight:7;util:0.61 0\r\n", b""),
    (b"3333333333333333 full - 0\r\n", b""),
]
STREAM = b"".join(head + body + b"\r\n" for head, body in RESPONSES)


def read(data: bytes, cuts: list[int]) -> list[tuple[lines.ResponseHead, bytes]]:
    decoder, responses, at = lines.Decoder(), list[tuple[lines.ResponseHead, bytes]](), 0
    head, body, complete_count = None, b"", 0
    for cut in [*sorted(cuts), len(data)]:
        for item in decoder.feed(memoryview(data)[at:cut]):
            if isinstance(item, lines.ResponseHead):
                head, body = item, b""
            elif isinstance(item, lines.ResponseData):
                body += bytes(item.data)
            else:
                assert head is not None
                responses.append((head, body))
                complete_count += 1
        at = cut
    assert decoder.is_between_responses and complete_count == len(responses)
    return responses


def test_responses_are_the_same_at_every_cut() -> None:
    complete = read(STREAM, [])
    assert [body for _, body in complete] == [body for _, body in RESPONSES]
    first = complete[0][0]
    assert (first.id, first.word, first.length) == ("9b1f03aa5c7e2d41", "data", 11)
    assert first.fields == {
        "tag": "4be0c1927d55a6f3",
        "minted": "1764576000123",
        "how": "pulled",
        "lag": "34",
    }
    assert complete[4][0].fields == {}
    for cut in range(len(STREAM)):
        assert read(STREAM, [cut]) == complete
    assert read(STREAM, list(range(len(STREAM)))) == complete


@given(st.lists(st.binary(max_size=400), max_size=6), st.lists(st.integers(0, 3000), max_size=10))
def test_objects_of_any_bytes_in_any_split(bodies: list[bytes], cuts: list[int]) -> None:
    data = b"".join(b"%016x data - %d\r\n%b\r\n" % (n, len(body), body) for n, body in enumerate(bodies))
    assert [body for _, body in read(data, [cut for cut in cuts if cut <= len(data)])] == bodies


@pytest.mark.parametrize(
    "data",
    [
        b"hello\r\n",
        b"id data - x\r\n",
        b"id data - -1\r\n",
        b"id data - 240001\r\n",
        b"id other - 0\r\n",
        b"id data how 0\r\n",
        b"id data a=1,a=2 0\r\n",
        b" data - 0\r\n",
        b"id data - 0\n\n",
        b"id data - 2\r\nabc\r\n",
        b"id data - 0\r\nx",
        b"\xff\xfe data - 0\r\n",
        b"x" * 1100,
    ],
)
def test_malformed_responses_raise(data: bytes) -> None:
    with pytest.raises(ProtocolError):
        list(lines.Decoder().feed(memoryview(data)))


@given(st.lists(st.binary(max_size=200), max_size=20))
def test_hostile_bytes_raise_or_pass_and_stay_bounded(parts: list[bytes]) -> None:
    decoder = lines.Decoder()
    try:
        for part in parts:
            list(decoder.feed(memoryview(part)))
    except ProtocolError:
        pass
    assert len(decoder.line_buffer) <= lines.MAX_LINE + 2


def test_an_end_inside_a_response_is_detected() -> None:
    for cut in range(1, len(STREAM)):
        decoder = lines.Decoder()
        end_count = sum(
            isinstance(item, lines.ResponseEnd) for item in decoder.feed(memoryview(STREAM)[:cut])
        )
        at_end = cut in {len(b"".join(h + b + b"\r\n" for h, b in RESPONSES[:n])) for n in range(6)}
        assert decoder.is_between_responses == at_end
        assert end_count <= 5


def test_commands() -> None:
    body = b"x\r\ny"
    assert (
        lines.serve("id", [("class", "bid"), ("via", "s-1")], body)
        == b"serve id class=bid,via=s-1 4\r\nx\r\ny\r\n"
    )
    assert lines.serve("id", [], b"") == b"serve id - 0\r\n\r\n"
    assert lines.cancel("id") == b"cancel id\r\n"
    assert (lines.health("t1"), lines.gauges("t2")) == (b"health t1\r\n", b"gauges t2\r\n")

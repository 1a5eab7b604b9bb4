"""Hosts decision modules for the simulator, which sends and receives frames by standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from quincepier.config import SettingsError
from quincepier.policy import Router
from quincepier.simwire import (
    HEADER,
    U32,
    Crashed,
    Started,
    WireError,
    decode_batch,
    decode_settings,
    encode_action,
    encode_broken,
    encode_reply,
)


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes in as many reads as it takes; return fewer only at the end of input."""
    chunks = []
    while size > 0:
        chunk = stream.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read a frame; return None at the end of input.

    Raises:
        WireError: The input ends inside a frame, or the frame's length is invalid.
    """
    head = read_exactly(stream, U32.size)
    if not head:
        return None
    if len(head) < U32.size:
        raise WireError("input ends inside a frame's length")
    (length,) = U32.unpack(head)
    if length < HEADER.size:
        raise WireError(f"frame states a length of {length} bytes, less than its header")
    frame = head + read_exactly(stream, length - U32.size)
    if len(frame) < length:
        raise WireError(f"input ends {length - len(frame)} bytes before the frame does")
    return frame


class Host:
    """The instances of the decision module in this process; they share no state.

    Attributes:
        routers: The running instances, by number.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def reply(self, frame: bytes) -> bytes:
        """Handle a batch of events and return the reply frame.

        An exception ends its instance alone, and is reported in the reply.
        """
        now, batch, events = decode_batch(frame)
        records: list[bytes] = []
        for instance, event in events:
            try:
                if isinstance(event, Started):
                    self.routers[instance] = Router(decode_settings(event.conf), event.seed, now)
                elif isinstance(event, Crashed):
                    self.routers.pop(instance, None)
                elif instance in self.routers:
                    records += [
                        encode_action(instance, action)
                        for action in self.routers[instance].handle(now, event)
                    ]
            except SettingsError as error:
                records.append(encode_broken(instance, str(error)))
            except Exception as error:  # any failure of the decision module ends only its instance
                self.routers.pop(instance, None)
                records.append(encode_broken(instance, f"{type(error).__name__}: {error}"))
        return encode_reply(batch, records)


def main() -> int:
    """Answer frames until the end of input; return the exit code, 1 for malformed input."""
    host = Host()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(host.reply(frame))
            sys.stdout.buffer.flush()
    except WireError as error:
        print(f"quincepier: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

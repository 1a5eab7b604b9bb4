"""Bad clients of LATER.md: each sends hundreds of requests at full speed, takes each back at once, and repeats.

Usage: bad_clients.py HOST PORT CLIENTS SECONDS. They connect one after another, 10 ms apart, read whatever they
are sent, and connect anew where the front ends their connection.
"""

from __future__ import annotations

import os
import selectors
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.dont_write_bytecode = True

from kit import pairs_of, record_of

REQUESTS, STEP_S = 200, 0.01


def messages() -> bytes:
    """Two hundred whole requests, each with its ABORT_REQUEST right behind it, so that one is open at a time."""
    out = b""
    for number in range(1, REQUESTS + 1):
        values = {
            "SCRIPT_NAME": "/call/lot-image", "REQUEST_METHOD": "GET", "HTTP_X_JOB_ID": os.urandom(8).hex(),
            "HTTP_X_ALLOW_MS": "3000", "HTTP_X_ITEM": os.urandom(8).hex(), "HTTP_X_N": "0", "HTTP_X_SHARD": "17",
        }  # fmt: skip
        id = number % 30 + 1
        out += record_of(1, id, struct.pack(">HB5x", 1, 1)) + record_of(4, id, pairs_of(values))
        out += record_of(4, id) + record_of(5, id) + record_of(2, id)
    return out


def main() -> None:
    address, clients, seconds = (sys.argv[1], int(sys.argv[2])), int(sys.argv[3]), float(sys.argv[4])
    waiting = [messages() for _ in range(clients)]
    selector = selectors.DefaultSelector()
    rounds = reconnects = sent = received = 0
    started = time.monotonic()

    def connect(data: bytes) -> None:
        sock = socket.create_connection(address)
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, [data, 0])

    while (elapsed := time.monotonic() - started) < seconds:
        while waiting and elapsed >= STEP_S * (clients - len(waiting)):
            connect(waiting.pop())
        for key, mask in selector.select(0.005):
            sock, state = key.fileobj, key.data
            assert isinstance(sock, socket.socket)
            try:
                if mask & selectors.EVENT_READ:
                    size = len(sock.recv(65536))
                    received += size
                    if not size:
                        raise ConnectionResetError
                if mask & selectors.EVENT_WRITE:
                    size = sock.send(state[0][state[1] : state[1] + 65536])
                    state[1], sent = state[1] + size, sent + size
                    if state[1] == len(state[0]):
                        state[1], rounds = 0, rounds + 1
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(sock)
                sock.close()
                reconnects += 1
                connect(state[0])
    print(f"rounds={rounds} of {REQUESTS} requests and as many aborts, sent={sent} bytes, received={received} bytes, "
          f"reconnects={reconnects}")  # fmt: skip


if __name__ == "__main__":
    main()

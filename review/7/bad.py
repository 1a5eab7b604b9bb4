"""Bad clients: each sends hundreds of whole requests at once, goes, and comes again at once.

Usage: bad.py ADDRESS CLIENTS SECONDS REQUESTS
"""

import asyncio
import logging
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import encode_request, split  # noqa: E402

ADDRESS, CLIENTS, SECONDS, REQUESTS = sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
NO_JOB = "0" * 16


async def send_and_go(ends_at: float, requests: list[bytes], chance: random.Random) -> None:
    while time.monotonic() < ends_at:
        jobs = (f"{chance.getrandbits(64):016x}".encode() for _ in requests)
        data = b"".join(r.replace(NO_JOB.encode(), job, 1) for r, job in zip(requests, jobs, strict=True))
        try:
            _, writer = await asyncio.open_connection(*split(ADDRESS))
            writer.write(data)
            await writer.drain()
            while writer.transport.get_write_buffer_size():
                await asyncio.sleep(0.001)
            writer.close()
        except OSError:
            await asyncio.sleep(0.001)


async def main() -> None:
    values = {"SCRIPT_NAME": "/call/lot-image", "HTTP_X_JOB_ID": NO_JOB, "HTTP_X_ALLOW_MS": "3000",
              "HTTP_X_ITEM": "7f3a9c21e0b4d655", "HTTP_X_N": "0", "HTTP_X_SHARD": "3"}  # fmt: skip
    requests = [encode_request(number + 1, values) for number in range(REQUESTS)]
    ends_at = time.monotonic() + SECONDS
    await asyncio.gather(*(send_and_go(ends_at, requests, random.Random(n)) for n in range(CLIENTS)))


logging.disable()
asyncio.run(main())

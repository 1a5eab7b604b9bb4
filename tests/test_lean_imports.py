"""The start of a front: what it loads into memory before it serves."""

from __future__ import annotations

from pathlib import Path

from tests.standins import Front, play
from tests.test_front import fleet


def test_a_front_runs_without_openssl_in_its_memory(tmp_path: Path) -> None:
    """Guards against: OpenSSL is mapped by an import, and with 32 MB set little is left for clients."""

    async def scenario(front: Front) -> None:
        assert front.process is not None
        mapped = Path(f"/proc/{front.process.pid}/maps").read_text()
        assert "uvloop" in mapped and "libcrypto" not in mapped and "libssl" not in mapped
        client = await front.connect_client()
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200

    play(tmp_path, fleet(), scenario)

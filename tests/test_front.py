"""The front as a process with stand-ins for its peers, which are slow, silent, broken or hostile."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path
from typing import Any

from tests.fcgikit import ABORT, encode_begin, encode_record, encode_request, params
from tests.frontkit import host
from tests.standins import Behaviour, Front, ReceivedCommand, play, until


def ok(command: ReceivedCommand) -> None:
    command.respond_with_data()


def silent(command: ReceivedCommand) -> None:
    """Sends no response."""


def fleet(edge: Behaviour = ok, parent: Behaviour = ok, origin: Behaviour = ok) -> dict[str, Behaviour]:
    return {"s-1": edge, "p-1": parent, "o-1": origin}


def test_serves_reads_and_writes_with_what_was_asked(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send(encode_request(1, {"SCRIPT_NAME": "/ping"}))
        assert (await client.wait_for_response(1)).status == 200
        client.send_request(2, HTTP_X_N="4")
        got = await client.wait_for_response(2)
        assert (got.status, got.body, got.protocol_status) == (200, b"bytes", 0)
        (command,) = front.caches["s-1"].commands
        assert command.id == f"{2:016x}" and command.body == b""
        expected = {"class": "lot-image", "key": "7f3a9c21e0b4d655", "part": "4", "via": "p-1", "tier": "1"}
        assert expected.items() <= command.fields.items() and 0 < int(command.fields["wait"]) <= 3000
        written = b"a\r\nb\0" * 9000
        client.send_request(3, "bid", written)
        assert (await client.wait_for_response(3)).status == 200
        (write,) = front.caches["o-1"].commands
        assert write.body == written and "via" not in write.fields

    play(tmp_path, fleet(), scenario)


def test_large_objects_of_any_bytes_arrive_complete(tmp_path: Path) -> None:
    large = bytes(range(256)) * 937 + b"\r\n1234567890abcdef data - 5\r\n"
    assert 239_000 < len(large) <= 240_000

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        for n in range(1, 9):
            client.send_request(n, HTTP_X_N=str(n))
        for n in range(1, 9):
            got = await client.wait_for_response(n)
            assert got.status == 200 and got.body == large

    play(tmp_path, fleet(lambda command: command.respond_with_data(large)), scenario)


def test_answers_in_any_order(tmp_path: Path) -> None:
    waiting: list[ReceivedCommand] = []

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        for n in (1, 2, 3):
            client.send_request(n, HTTP_X_N=str(n))
        await until(lambda: len(waiting) == 3, "all commands are at the cache")
        in_order = [waiting[n] for n in (2, 0, 1)]
        for command, body in zip(in_order, (b"last first", b"L" * 240_000, b"small"), strict=True):
            command.respond_with_data(body)
            assert (await client.wait_for_response(int(command.id, 16))).body == body
        assert client.response_reader.completed_requests == [int(command.id, 16) for command in in_order]

    play(tmp_path, fleet(waiting.append), scenario)


def test_a_slow_response_arrives_complete_and_delays_no_other_machine(tmp_path: Path) -> None:
    def half(command: ReceivedCommand) -> None:
        command.writer.write(f"{command.id} data how=local 8\r\nhalf".encode())

    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1)
        await until(lambda: len(edge.commands) == 1, "the slow command is at the cache")
        client.send_request(2, "bid", b"offer")
        assert (await client.wait_for_response(2)).status == 200
        # nothing is passed on of a partial response
        assert (
            1 not in client.response_reader.response_by_request
            or client.response_reader.response_by_request[1].output == b""
        )
        edge.commands[0].writer.write(b"done\r\n")
        assert (await client.wait_for_response(1)).body == b"halfdone"

    play(tmp_path, fleet(half), scenario)


def test_the_thirty_third_open_request_is_overloaded_and_the_others_are_served(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, origin = await front.connect_client(), front.caches["o-1"]
        for n in range(1, 33):
            client.send_request(n, "bid", b"offer")
        await until(lambda: len(origin.commands) == 32, "the 32 commands are at the origin")
        client.send_request(33, "bid", b"offer")
        got = await client.wait_for_response(33)
        assert (got.output, got.protocol_status) == (b"", 2)
        for command in origin.commands:
            command.respond_with_data()
        assert {(await client.wait_for_response(n)).status for n in range(1, 33)} == {200}
        assert len(origin.commands) == 32

    play(tmp_path, fleet(origin=silent), scenario)


def test_the_version_that_the_client_holds_is_forwarded_and_confirmed(tmp_path: Path) -> None:
    def edge(command: ReceivedCommand) -> None:
        command.respond("unchanged", b"", f"tag={command.fields['known']},minted=1,how=local")

    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1, HTTP_X_MINE="00000000000000aa")
        got = await client.wait_for_response(1)
        assert (got.status, got.body, got.headers["X-Still"]) == (200, b"", "1")
        assert front.caches["s-1"].commands[0].fields["known"] == "00000000000000aa"

    play(tmp_path, fleet(edge), scenario)


def test_unchanged_without_a_known_version_closes_the_cache_connection(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200
        assert front.has_logged("cache_protocol_error") and len(front.caches["p-1"].commands) == 1

    play(tmp_path, fleet(lambda command: command.respond("unchanged")), scenario)


def invalid_responses() -> dict[str, Behaviour]:
    def write(data: bytes, then_close: bool = False) -> Behaviour:
        def behave(command: ReceivedCommand) -> None:
            command.writer.write(data.replace(b"ID", command.id.encode()))
            if then_close:
                command.writer.close()

        return behave

    return {
        "length over the limit": write(b"ID data - 240001\r\n"),
        "body shorter than its length": write(b"ID data - 100\r\nhalf", True),
        "body longer than its length": write(b"ID data - 3\r\nlonger\r\n"),
        "another protocol": write(b"GET / HTTP/1.1\r\n\r\n"),
        "a health check's response": write(b"ID well - 0\r\n"),
        "reset": ReceivedCommand.abort_connection,
    }


def test_no_invalid_cache_response_is_passed_on(tmp_path: Path) -> None:
    for name, invalid in invalid_responses().items():

        async def scenario(front: Front, name: str = name, invalid: Behaviour = invalid) -> None:
            client = await front.connect_client()
            client.send_request(1)
            got = await client.wait_for_response(1)
            # the command may have run: a safe request is retried elsewhere, an unsafe one fails
            assert (got.status, got.body) == (200, b"whole"), name
            front.caches["o-1"].behaviour = invalid
            client.send_request(2, "bid", b"offer")
            assert (await client.wait_for_response(2)).status == 502, name
            assert len(front.caches["o-1"].commands) == 1, name

        (tmp_path / name).mkdir()
        play(tmp_path / name, fleet(invalid, lambda command: command.respond_with_data(b"whole")), scenario)


def test_refused_connection_proves_that_a_write_did_not_run(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        for cache in front.caches.values():
            assert cache.server is not None
            cache.server.close()
        client = await front.connect_client()
        client.send_request(1, "bid", b"offer")
        got = await client.wait_for_response(1)
        assert got.status == 503 and int(got.headers["X-Wait-Ms"]) > 0

    play(tmp_path, fleet(), scenario)


def test_silence_ends_by_time_out_with_a_cancel_and_one_answer(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["o-1"]
        client.send_request(1, "bid", b"offer", HTTP_X_ALLOW_MS="300")
        client.send_request(2)  # a stalled machine delays no other
        assert (await client.wait_for_response(2)).status == 200
        assert (await client.wait_for_response(1)).status == 502
        await until(lambda: edge.cancelled_ids == [f"{1:016x}"], "the attempt is cancelled")
        edge.commands[0].respond_with_data(b"late")  # dropped, and the connection stays open
        edge.behaviour = ok
        client.send_request(3, "bid")
        assert (await client.wait_for_response(3)).body == b"bytes"
        assert client.response_reader.response_by_request[1].protocol_status == 0

    play(tmp_path, fleet(origin=silent), scenario)


def test_no_new_attempt_on_a_connection_that_went_silent(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, origin = await front.connect_client(), front.caches["o-1"]
        client.send_request(1, "bid", b"offer", HTTP_X_ALLOW_MS="900")
        assert (await client.wait_for_response(1)).status == 502
        client.send_request(2, "bid", b"offer")
        await until(lambda: len(origin.commands) == 2, "the second command is at the origin")
        assert origin.commands[0].writer is not origin.commands[1].writer
        origin.commands[1].respond_with_data()
        assert (await client.wait_for_response(2)).status == 200

    play(tmp_path, fleet(origin=silent), scenario)


def test_an_abort_gets_no_response_and_cancels_the_attempt(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1)
        await until(lambda: len(edge.commands) == 1, "the first command is at the cache")
        client.send(encode_record(ABORT, 1))
        await until(lambda: edge.cancelled_ids == [f"{1:016x}"], "it is cancelled")
        edge.commands[0].respond_with_data(b"late")
        edge.behaviour = ok
        client.send_request(2)
        assert (await client.wait_for_response(2)).body == b"bytes"
        assert (
            1 not in client.response_reader.response_by_request
            or client.response_reader.response_by_request[1].output == b""
        )
        client.send(encode_request(1, params(f"{77:016x}")))  # the request id is free again
        assert (await client.wait_for_response(1)).body == b"bytes"

    play(tmp_path, fleet(silent), scenario)


def test_a_client_protocol_error_affects_no_other_client(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        good, bad, edge = await front.connect_client(), await front.connect_client(), front.caches["s-1"]
        bad.send_request(1)
        good.send_request(2, HTTP_X_N="2")
        await until(lambda: len(edge.commands) == 2, "both commands are at the cache")
        bad.send(b"\x07 this is no FastCGI" + encode_request(3, params("3" * 16)))
        await until(lambda: front.has_logged("client_protocol_error"), "the protocol error is logged")
        for command in edge.commands:
            command.respond_with_data()
        assert (await bad.wait_for_response(1)).status == 200, "the complete request has its response"
        await until(lambda: bad.is_closed, "the connection is closed after it")
        assert (await good.wait_for_response(2)).status == 200
        assert len(edge.commands) == 2 and not edge.cancelled_ids


def test_a_disconnect_after_a_protocol_error_cancels_open_requests(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        bad, edge = await front.connect_client(), front.caches["s-1"]
        bad.send_request(1)
        await until(lambda: len(edge.commands) == 1, "the command is at the cache")
        bad.send(b"\x07 this is no FastCGI")
        await until(lambda: front.has_logged("client_protocol_error"), "the protocol error is logged")
        await bad.close()
        await until(lambda: edge.cancelled_ids == [f"{1:016x}"], "its open request is cancelled")

    play(tmp_path, fleet(silent), scenario)


def test_a_protocol_error_with_no_open_request_closes_the_connection(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        bad = await front.connect_client()
        bad.send(b"\x07 this is no FastCGI")
        await until(lambda: bad.is_closed, "the connection is closed")
        await until(lambda: front.has_logged("client_protocol_error"), "the event is logged")

    play(tmp_path, fleet(silent), scenario)

    play(tmp_path, fleet(silent), scenario)


def test_bad_requests_fail_at_once_and_are_not_forwarded(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1, "no-such-class")
        client.send_request(2, HTTP_X_ITEM=None)
        client.send_request(4, HTTP_X_JOB_ID="spaces in it")
        client.send(encode_begin(5, role=2))
        statuses = [(await client.wait_for_response(n)).status for n in (1, 2, 4)]
        assert statuses == [404, 400, 400]
        assert (await client.wait_for_response(5)).protocol_status == 3
        client.send_request(6, "bid", b"x" * 48_000)
        assert (await client.wait_for_response(6)).status == 200
        assert sum(len(cache.commands) for cache in front.caches.values()) == 1

    play(tmp_path, fleet(), scenario)


def test_connection_without_keep_conn_closes_behind_its_answer(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send(encode_request(1, params(f"{1:016x}"), keep=False))
        assert (await client.wait_for_response(1)).status == 200
        await until(lambda: client.is_closed, "the front closes it")

    play(tmp_path, fleet(), scenario)


def test_attempts_beyond_the_descriptor_limit_share_connections(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        front.log_lines.clear()
        await front.start(limits={"cores": 1.0, "memory_mb": 64, "sockets": 40})
        clients, edge = [await front.connect_client() for _ in range(4)], front.caches["s-1"]
        for n in range(1, 61):
            clients[n % 4].send_request(n, HTTP_X_N=str(n))
        statuses = [(await clients[n % 4].wait_for_response(n)).status for n in range(1, 61)]
        assert set(statuses) <= {200, 503} and statuses.count(200) == len(edge.commands) >= 10
        assert edge.accepted_count <= 12

    play(tmp_path, fleet(), scenario)


def test_idle_connections_close_from_both_sides_and_open_again(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        front.log_lines.clear()
        settings = front.config["settings"]
        limits = settings["limits"] | {"conn_idle": 1_000_000_000}
        await front.start(settings=settings | {"limits": limits})
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200
        await until(lambda: edge.open_count == 0, "the front closes the idle connection")
        client.send_request(2)
        assert (await client.wait_for_response(2)).status == 200 and edge.accepted_count == 2
        edge.commands[-1].writer.close()  # now the cache closes it
        await until(lambda: edge.open_count == 0, "the cache closed it")
        client.send_request(3)
        assert (await client.wait_for_response(3)).status == 200 and edge.accepted_count == 3

    play(tmp_path, fleet(), scenario)


def test_list_is_followed_and_a_new_machine_takes_an_old_address(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200
        gone, new = host("s-1", edge.address, health="DELETED"), host("s-2", edge.address)
        front.change_log.add_event(fleet={"seq": 1, "whole": False, "hosts": [gone, new]})
        await until(lambda: edge.open_count == 0, "connections to the deleted machine close")
        client.send_request(2)
        assert (await client.wait_for_response(2)).status == 200
        assert (len(edge.commands), edge.accepted_count) == (2, 2)
        drained = host("s-2", edge.address, health="DRAINING")
        seen = len(front.change_log.poll_positions)
        front.change_log.add_event(fleet={"seq": 2, "whole": False, "hosts": [drained]})
        await until(lambda: len(front.change_log.poll_positions) > seen, "the change log is read")
        client.send_request(3)
        assert (await client.wait_for_response(3)).status == 200
        assert len(edge.commands) == 2 and len(front.caches["p-1"].commands) == 1

    play(tmp_path, fleet(), scenario)


def test_purge_limits_the_age_of_what_is_asked_for(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1, "lot-video")
        await client.wait_for_response(1)
        assert "fresh" not in edge.commands[0].fields
        seen, purged = len(front.change_log.poll_positions), time.time_ns() // 1_000_000
        front.change_log.add_event(invalidate={"object": "7f3a9c21e0b4d655", "time": purged - 1000})
        await until(lambda: len(front.change_log.poll_positions) > seen, "the change log is read")
        client.send_request(2, "lot-video")
        await client.wait_for_response(2)
        now = time.time_ns() // 1_000_000
        assert 990 <= int(edge.commands[1].fields["fresh"]) <= now - (purged - 1000)

    play(tmp_path, fleet(), scenario)


def test_a_purge_missed_between_the_list_of_the_start_and_the_start_holds_for_the_first_request(
    tmp_path: Path,
) -> None:
    """A purge is in force once it is in the change log: it must be read before the first request."""

    async def scenario(front: Front) -> None:
        edge = front.caches["s-1"]
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        purged = time.time_ns() // 1_000_000
        front.change_log.add_event(invalidate={"object": "7f3a9c21e0b4d655", "time": purged})
        front.change_log.response_delay_s = 0.03
        front.log_lines.clear()
        await front.start()
        client = await front.connect_client()
        client.send_request(1, "lot-video")
        await client.wait_for_response(1)
        assert int(edge.commands[0].fields["fresh"]) <= time.time_ns() // 1_000_000 - purged
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        front.change_log.is_stopped = True  # the change log is unreachable: the front serves without it
        front.log_lines.clear()
        await front.start()
        client = await front.connect_client()
        client.send_request(2, "lot-image")
        assert (await client.wait_for_response(2)).status == 200

    play(tmp_path, fleet(), scenario)


def test_a_change_log_that_fails_stalls_or_is_invalid_does_not_stop_serving(tmp_path: Path) -> None:
    gap = b'{"seq":9,"results":[{"seq":9,"invalidate":{"bucket":1,"time":1}}]}'
    answers = [
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{no}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf",
        b"this is not HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(gap), gap),
    ]

    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        front.change_log.raw_responses += answers
        front.change_log.add_event(invalidate={"bucket": 3, "time": 1})  # ends the open poll
        await until(lambda: not front.change_log.raw_responses, "all invalid responses were sent")
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200
        added = front.change_log.add_event(
            fleet={"seq": 1, "whole": False, "hosts": [host("s-1", edge.address, health="DELETED")]}
        )
        await until(lambda: added in front.change_log.poll_positions, "the change log is read again")
        client.send_request(2)
        assert (await client.wait_for_response(2)).status == 200
        assert len(edge.commands) == 1 and front.has_logged("change_log_poll_failed")

    play(tmp_path, fleet(), scenario)


def test_record_that_cannot_be_used_keeps_the_last_good_list(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        bad = host("s-1", "127.0.0.1:1", health="SLEEPING")
        front.change_log.add_event(fleet={"seq": 1, "whole": True, "hosts": [bad]})
        added = front.change_log.add_event(invalidate={"bucket": 3, "time": 1})
        await until(lambda: added in front.change_log.poll_positions, "the event after it is read")
        assert front.has_logged("SLEEPING")
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200 and len(front.caches["s-1"].commands) == 1

    play(tmp_path, fleet(), scenario)


def test_sigterm_finishes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client, edge = await front.connect_client(), front.caches["s-1"]
        client.send_request(1)
        await until(lambda: len(edge.commands) == 1, "the command is at the cache")
        front.send_signal(signal.SIGTERM)
        await until(lambda: front.has_logged("drain: 1 requests open"), "the front drains")
        late = await front.connect_client()
        late.send_request(2, HTTP_X_N="2")
        await until(lambda: len(edge.commands) == 2, "a new connection is served too")
        for command in edge.commands:
            command.respond_with_data()
        assert (await client.wait_for_response(1)).status == 200 and (
            await late.wait_for_response(2)
        ).status == 200
        assert await front.wait_for_exit() == 0
        assert front.has_logged("stopped") and front.has_logged("requests 2")

    play(tmp_path, fleet(silent), scenario)


def test_sigterm_answers_open_requests_before_the_kill(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1, "bid", HTTP_X_ALLOW_MS="6000")
        await until(lambda: len(front.caches["o-1"].commands) == 1, "the command is at the cache")
        front.send_signal(signal.SIGTERM)
        assert (await client.wait_for_response(1)).status == 502
        assert await front.wait_for_exit() == 0

    play(tmp_path, fleet(origin=silent), scenario)


def test_a_killed_front_restarts_without_state(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        client = await front.connect_client()
        client.send_request(1)
        await client.wait_for_response(1)
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        front.log_lines.clear()
        await front.start()
        again = await front.connect_client()
        again.send_request(2)
        assert (await again.wait_for_response(2)).status == 200

    play(tmp_path, fleet(), scenario)


def test_an_address_in_use_logs_one_line_and_exits_with_1(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        other = Front(tmp_path, front.caches, front.change_log, front.config, None, front.address)
        await other.start(wait=False)
        assert await other.wait_for_exit() == 1
        assert len(other.log_lines) == 1 and "can't listen on" in other.log_lines[0]

    play(tmp_path, fleet(), scenario)


def measure_process(process: Any) -> tuple[int, int]:
    """Return the process's resident memory, bytes, and its number of open descriptors."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE"), len(os.listdir(f"/proc/{process.pid}/fd"))


def test_slow_readers_and_a_flood_stay_within_bounds(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        origin = front.caches["o-1"]
        stalled = []
        for n in range(24):  # 24 x 32 x 240,000 bytes are requested and never read: 184 MB
            reader, writer = await asyncio.open_connection(*front.address, limit=1024)
            stalled.append((reader, writer))
            for k in range(1, 33):
                values = params(f"{n * 100 + k:016x}", "bid", HTTP_X_ALLOW_MS="6000")
                writer.write(encode_request(k, values))
        client = await front.connect_client()
        for n in range(1, 21):
            client.send_request(n, HTTP_X_N=str(n))
        for n in range(1, 21):
            assert (await client.wait_for_response(n)).protocol_status is not None
        await until(lambda: front.has_logged("buffer_limit"), "the buffers are exhausted")
        assert (
            len(origin.commands) * 240_000 > 64 * 1024 * 1024
        )  # some clients were closed before their requests were sent
        memory, descriptors = measure_process(front.process)
        assert memory < 192 * 1024 * 1024 and descriptors < 1024
        for _, writer in stalled:
            writer.transport.abort()
        client.send_request(30, HTTP_X_N="30")
        assert (await client.wait_for_response(30)).protocol_status == 0 and not front.has_exited

    play(tmp_path, fleet(ok, ok, lambda command: command.respond_with_data(b"x" * 240_000)), scenario)


def test_more_connections_than_the_descriptor_limit_allows(tmp_path: Path) -> None:
    async def scenario(front: Front) -> None:
        front.send_signal(signal.SIGKILL)
        await front.wait_for_exit()
        front.log_lines.clear()
        await front.start(limits={"cores": 1.0, "memory_mb": 192, "sockets": 128})
        held = [await asyncio.open_connection(*front.address) for _ in range(150)]
        client = await front.connect_client()  # idle ones were closed for it
        client.send_request(1)
        assert (await client.wait_for_response(1)).status == 200
        assert measure_process(front.process)[1] < 128
        assert front.has_logged("idle_client_closed")
        for _, writer in held:
            writer.close()

    play(tmp_path, fleet(), scenario)

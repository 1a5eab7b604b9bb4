"""Exchanges of the full membership state over streams (push/pull)."""

from __future__ import annotations

from quincepier.checks import Checks
from quincepier.net.peers.address_book import Address, AddressBook, is_ip_address
from quincepier.net.peers.detector_actor import DetectorActor
from quincepier.net.peers.stream_pool import StreamPool

CHANNEL = 0
REQUEST = b"?"  # first byte of a frame that also requests the receiver's state
RESPONSE = b"="  # first byte of the answer to a request


class StateSync:
    """Sends this front's full state and merges the states of others."""

    def __init__(
        self, detector: DetectorActor, addresses: AddressBook, streams: StreamPool, checks: Checks
    ) -> None:
        self._detector = detector
        self._addresses = addresses
        self._streams = streams
        self._checks = checks

    def start(self, address: Address) -> None:
        """Sends the full state to the member that announces an address and requests its state."""
        if not self._detector.is_running:
            return
        request = REQUEST + self._detector.encode_full_state()
        name = self._addresses.name_at(address)
        if name is not None:
            self._streams.send(name, CHANNEL, request)
        elif is_ip_address(address[0]):
            self._streams.send_to_address(address, CHANNEL, request)
        else:
            self._checks.count("peer_datagrams_not_sent")

    def on_frame(self, sender: str, data: bytes) -> None:
        """Merges a received state; answers a request with this front's state."""
        if not self._detector.is_running:
            return
        self._detector.merge_full_state(data[1:])
        if data[:1] == REQUEST:
            self._streams.send(sender, CHANNEL, RESPONSE + self._detector.encode_full_state())

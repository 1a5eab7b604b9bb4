"""Exchanges of the full membership state over streams (push/pull)."""

from __future__ import annotations

from quincepier.checks import Checks
from quincepier.net.peers.address_book import Address, AddressBook, is_ip_address
from quincepier.net.peers.detector_actor import DetectorActor
from quincepier.net.peers.stream_pool import StreamPool

CHANNEL = 0
REQUEST = b"?"  # first byte of a state that asks for the receiver's own
RESPONSE = b"="


class StateSync:
    """Sends this front's full state and merges what others send."""

    def __init__(
        self, detector: DetectorActor, addresses: AddressBook, streams: StreamPool, checks: Checks
    ) -> None:
        self._detector = detector
        self._addresses = addresses
        self._streams = streams
        self._checks = checks

    def start(self, address: Address) -> None:
        """Sends the full state to whoever announces an address and asks for its own."""
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
        """Merges a received state, and answers a request with this front's own."""
        if not self._detector.is_running:
            return
        self._detector.merge_full_state(data[1:])
        if data[:1] == REQUEST:
            self._streams.send(sender, CHANNEL, RESPONSE + self._detector.encode_full_state())

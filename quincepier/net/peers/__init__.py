"""The network between the fronts: datagrams for the failure detector, one stream a pair for all else.

It runs the failure detector of `quincepier.membership` and carries frames on numbered channels, at most once
and in order on a stream. It neither decides who is a member nor reads the data of a frame. Start with
`peer_network.py`; docs/membership.md and docs/agreement.md.
"""

from quincepier.net.peers.frames import MAX_FRAME_BYTES, PeersError
from quincepier.net.peers.peer_network import PeerNetwork

__all__ = ["MAX_FRAME_BYTES", "PeerNetwork", "PeersError"]

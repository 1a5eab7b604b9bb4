"""The network between the fronts: datagrams for the failure detector, one TCP stream per pair for the rest.

The package runs the failure detector of `quincepier.membership` and transfers frames on numbered channels. A
frame is delivered at most once, and frames of one stream are delivered in order. The package does not decide
which fronts are members and does not read the data of frames. Start with `peer_network.py`; see also
docs/membership.md and docs/agreement.md.
"""

from quincepier.net.peers.frames import MAX_FRAME_BYTES, PeersError
from quincepier.net.peers.peer_network import PeerNetwork

__all__ = ["MAX_FRAME_BYTES", "PeerNetwork", "PeersError"]

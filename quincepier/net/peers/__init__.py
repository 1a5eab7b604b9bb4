"""The fronts' own words to each other: datagrams for the failure detector, one stream a pair for all else.

It carries the detector of `quincepier.membership` and frames on numbered channels, at most once and in order
on a stream. It never decides who is a member nor reads what others put in a frame. Read `shell.py` first;
docs/membership.md and docs/agreement.md.
"""

from quincepier.net.peers.frames import FRAME_MOST, PeersError
from quincepier.net.peers.peer_network import PeerNetwork

__all__ = ["FRAME_MOST", "PeerNetwork", "PeersError"]

"""Roles of a voter and the allowed transitions between them."""

from __future__ import annotations

from enum import Enum


class RaftRole(Enum):
    """Role of a voter in its term (Raft 5.1; pre-candidate: thesis 9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


# Without pre-vote a follower becomes candidate at once; a timeout restarts an election (Raft, figure 4).
ROLE_TRANSITIONS = {
    RaftRole.FOLLOWER: {RaftRole.FOLLOWER, RaftRole.PRE_CANDIDATE, RaftRole.CANDIDATE},
    RaftRole.PRE_CANDIDATE: {RaftRole.FOLLOWER, RaftRole.PRE_CANDIDATE, RaftRole.CANDIDATE},
    RaftRole.CANDIDATE: {
        RaftRole.FOLLOWER,
        RaftRole.PRE_CANDIDATE,
        RaftRole.CANDIDATE,
        RaftRole.LEADER,
    },
    RaftRole.LEADER: {RaftRole.FOLLOWER},
}

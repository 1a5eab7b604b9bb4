"""Leader election: pre-vote, vote, the leader's lease and stepping down.

Raft 5.2, 5.4.1; thesis 4.2.3, 6.2, 9.6.

Invariants:
- A voter votes for at most one candidate in a term, and the vote is on disk before it is sent.
- A voter does not vote for a candidate whose log is less up to date than its own.
- A voter grants no vote within the minimum election timeout after a leader's message or after its own start,
  so a leader's lease that is shorter excludes a second leader.
- A leader that no quorum answered for the maximum election timeout steps down.
"""

from __future__ import annotations

from quincepier.consensus.leader_state import LeaderState
from quincepier.consensus.messages import Message, RequestVote, VoteResponse
from quincepier.consensus.raft_role import RaftRole
from quincepier.consensus.raft_state import RaftState


def on_tick(state: RaftState) -> None:
    """As leader, check the quorum; otherwise start an election that is due and resend vote requests."""
    if state.leader_state is not None:
        check_quorum(state, state.leader_state)
        return
    if state.now_ns >= state.election_deadline_ns:
        start_election(state)
    if state.is_campaigning and state.now_ns >= state.retry_deadline_ns:
        send_vote_requests(state)


def can_become_candidate(state: RaftState) -> bool:
    """Whether this voter is a member, bootstrap is complete and all its writes are on disk."""
    return state.is_member and state.is_bootstrapped and not state.persistence.pending


def start_election(state: RaftState) -> None:
    """After an election timeout without a leader, request pre-votes, or votes where pre-vote is off."""
    state.leader = None
    state.reset_election_deadline()
    if not can_become_candidate(state):
        state.abandon_election()
        return
    if state.config.pre_vote:
        state.become_pre_candidate()
    else:
        state.become_candidate()
    state.retry_deadline_ns = state.now_ns


def send_vote_requests(state: RaftState) -> None:
    """Request a vote from each member that has not granted one yet; due again after the retry interval."""
    state.retry_deadline_ns = state.now_ns + state.config.timeouts.retry_interval_ns
    is_pre_vote = state.role is RaftRole.PRE_CANDIDATE
    term = state.term + 1 if is_pre_vote else state.term
    request = RequestVote(is_pre_vote, term, state.log.last_index, state.log.last_term)
    for member in state.other_members():
        if member.identity not in state.votes_granted:
            state.queue_message(member.name, request, member.identity)


def is_log_up_to_date(state: RaftState, request: RequestVote) -> bool:
    """Whether the candidate's log is at least as up to date as this voter's (Raft 5.4.1)."""
    candidate = (request.last_log_term, request.last_log_index)
    return candidate >= (state.log.last_term, state.log.last_index)


def defers_to(state: RaftState, message: Message, request: RequestVote) -> bool:
    """Whether this pre-candidate yields to the sender, another pre-candidate.

    The one with the more up-to-date log goes first, or with equal logs the one with the higher identity.
    Otherwise both would become candidates on a slow network and split the vote.
    """
    sender_rank = (request.last_log_term, request.last_log_index, message.sender_identity)
    own_rank = (state.log.last_term, state.log.last_index, state.identity)
    return message.sender_identity in state.deferred_to or sender_rank > own_rank


def on_request_vote(state: RaftState, message: Message, request: RequestVote) -> None:
    """Answer a vote or pre-vote request; while a leader may be alive, deny pre-votes, ignore the rest."""
    lease_end_ns = state.leader_contact_ns + state.config.timeouts.min_election_timeout_ns
    may_have_leader = state.is_leader or state.now_ns < lease_end_ns
    if request.is_pre_vote:
        granted = not may_have_leader and grants_pre_vote(state, message, request)
        response = VoteResponse(True, request.term, granted)
        state.queue_message(message.sender_name, response, message.sender_identity)
    elif not may_have_leader:  # its higher term is ignored too: a voter that was cut off deposes no leader
        _answer_vote_request(state, message, request)


def grants_pre_vote(state: RaftState, message: Message, request: RequestVote) -> bool:
    """Return whether this voter would vote for the sender; if so, it abandons its own pre-election."""
    if request.term <= state.term or not is_log_up_to_date(state, request):
        return False
    if state.role is RaftRole.PRE_CANDIDATE and not defers_to(state, message, request):
        return False
    # once per sender: one that keeps asking and never receives the answers would block all other elections
    if state.role is not RaftRole.CANDIDATE and message.sender_identity not in state.deferred_to:
        state.deferred_to.add(message.sender_identity)
        state.abandon_election()
        state.reset_election_deadline()
    return True


def _answer_vote_request(state: RaftState, message: Message, request: RequestVote) -> None:
    state.is_bootstrapped = True
    if request.term > state.term:
        state.become_follower(request.term)
    granted = (
        request.term == state.term
        and state.voted_for in ("", message.sender_identity)
        and is_log_up_to_date(state, request)
        and state.role is RaftRole.FOLLOWER
    )
    if granted:
        state.voted_for = message.sender_identity
        state.reset_election_deadline()
    response = VoteResponse(False, request.term, granted)
    state.queue_message(message.sender_name, response, message.sender_identity)


def on_vote_response(state: RaftState, message: Message, response: VoteResponse) -> None:
    """Count a granted vote; a quorum of pre-votes makes a candidate, a quorum of votes a leader."""
    if not response.granted or not _is_vote_for_this_election(state, response):
        return
    if message.sender_identity not in {member.identity for member in state.configuration}:
        return
    state.votes_granted.add(message.sender_identity)
    if len(state.votes_granted) < state.quorum_size:
        return
    if response.is_pre_vote:
        state.become_candidate()
        send_vote_requests(state)
    else:
        state.become_leader()


def _is_vote_for_this_election(state: RaftState, response: VoteResponse) -> bool:
    if response.is_pre_vote:
        return state.role is RaftRole.PRE_CANDIDATE and response.term == state.term + 1
    return state.role is RaftRole.CANDIDATE and response.term == state.term


def check_quorum(state: RaftState, leader_state: LeaderState) -> None:
    """Renew the lease; step down if the quorum is lost or the disk is stalled (thesis 6.2)."""
    timeouts = state.config.timeouts
    acknowledged_ns = quorum_acknowledged_ns(state)
    last_quorum_ns = max(acknowledged_ns, leader_state.since_ns)
    has_lost_quorum = state.now_ns - last_quorum_ns >= timeouts.max_election_timeout_ns
    if has_lost_quorum or state.persistence.is_stalled(state.now_ns, timeouts.max_election_timeout_ns):
        state.become_follower(state.term)
    elif acknowledged_ns and state.commit_index >= leader_state.first_index:
        lease_until_ns = acknowledged_ns + timeouts.leader_lease_ns
        leader_state.lease_until_ns = max(leader_state.lease_until_ns, lease_until_ns)


def quorum_acknowledged_ns(state: RaftState) -> int:
    """Return the send time (ns) of the newest messages that a quorum has answered; 0 if there are none."""
    return state.quorum_value(state.now_ns, lambda progress: progress.acknowledged_at_ns)

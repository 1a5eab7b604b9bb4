"""Log replication and commitment (Raft 5.3, 5.4.2, 7).

Invariants:
- An entry of the leader's own term is committed once it is on the disks of a quorum, and with it all entries
  before it.
- A voter confirms an entry only once it is on its own disk.
"""

from __future__ import annotations

from quincepier.consensus.follower_progress import FollowerProgress, ResponseId
from quincepier.consensus.leader_state import LeaderState
from quincepier.consensus.messages import (
    MAX_BATCH_BYTES,
    MAX_ENTRIES_PER_MESSAGE,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
    StorageRollback,
)
from quincepier.consensus.raft_role import RaftRole
from quincepier.consensus.raft_state import DropReason, RaftState
from quincepier.state.voter_records import EntryKind, LogEntry, Member


def send_due_heartbeats(state: RaftState) -> None:
    """As leader, send heartbeats if their interval has passed."""
    leader_state = state.leader_state
    if leader_state is not None and state.now_ns >= leader_state.heartbeat_deadline_ns:
        send_heartbeats(state, leader_state)


def send_heartbeats(state: RaftState, leader_state: LeaderState) -> None:
    """Send each follower the entries that it lacks, or only the commit index."""
    for receiver in _receivers(state, leader_state):
        send_append_entries(state, receiver, leader_state.progress_by_identity[receiver.identity])
    leader_state.heartbeat_deadline_ns = state.now_ns + state.config.timeouts.heartbeat_interval_ns


def send_new_entries(state: RaftState, leader_state: LeaderState) -> None:
    """Send new entries to each follower that has not been sent all of the log."""
    for receiver in _receivers(state, leader_state):
        progress = leader_state.progress_by_identity[receiver.identity]
        if progress.next_index <= state.log.last_index:
            send_append_entries(state, receiver, progress)


def _receivers(state: RaftState, leader_state: LeaderState) -> list[Member]:
    """Return the other voters and those being added, if their progress is tracked."""
    name_by_identity = {member.identity: member.name for member in state.other_members()}
    for name, announcement in state.announcement_by_name.items():
        if announcement.identity in leader_state.progress_by_identity:
            name_by_identity.setdefault(announcement.identity, name)
    return [
        Member(name, identity)
        for identity, name in name_by_identity.items()
        if identity in leader_state.progress_by_identity
    ]


def send_append_entries(state: RaftState, receiver: Member, progress: FollowerProgress) -> None:
    """Send the next entries to a follower, or the snapshot if those entries are compacted."""
    if progress.next_index <= state.log.snapshot_index:
        _send_snapshot(state, receiver, progress)
        return
    prev_index = progress.next_index - 1
    entries = state.log.entries_after(prev_index, MAX_ENTRIES_PER_MESSAGE, MAX_BATCH_BYTES)
    prev_term = state.log.term_at(prev_index) or 0
    request = AppendEntries(state.now_ns, prev_index, prev_term, state.commit_index, entries)
    state.queue_message(receiver.name, request, receiver.identity, needs_persistence=False)
    progress.next_index += len(entries)


def _send_snapshot(state: RaftState, receiver: Member, progress: FollowerProgress) -> None:
    snapshot = state.log.snapshot
    interval_ns = state.config.timeouts.snapshot_retry_interval_ns
    is_due = not progress.snapshot_sent_at_ns or state.now_ns >= progress.snapshot_sent_at_ns + interval_ns
    if snapshot is not None and is_due:
        progress.snapshot_sent_at_ns = state.now_ns
        request = InstallSnapshot(state.now_ns, snapshot)
        state.queue_message(receiver.name, request, receiver.identity, needs_persistence=False)


def propose(
    state: RaftState, kind: EntryKind, data: bytes = b"", configuration: tuple[Member, ...] = ()
) -> bool:
    """Append an entry and send it; return False if this voter does not lead or too much is uncommitted."""
    log = state.log
    limits = state.config.limits
    if state.leader_state is None:
        return False
    uncommitted_entries = log.last_index - state.commit_index
    uncommitted_bytes = log.bytes_after(state.commit_index) + len(data)
    if (
        uncommitted_entries >= limits.max_uncommitted_entries
        or uncommitted_bytes > limits.max_uncommitted_bytes
    ):
        state.dropped[DropReason.PROPOSAL_LIMIT] += 1
        return False
    state.append_entry(LogEntry(log.last_index + 1, state.term, kind, data, configuration))
    send_new_entries(state, state.leader_state)
    return True


def send_append_response(
    state: RaftState, message: Message, sent_at_ns: int, success: bool, match_index: int
) -> None:
    """Answer a message of the leader; see AppendEntriesResponse."""
    state.response_sequence += 1
    response = AppendEntriesResponse(
        sent_at_ns, success, match_index, state.log.last_index, state.response_sequence
    )
    state.queue_message(message.sender_name, response, message.sender_identity)


def _on_leader_contact(state: RaftState, message: Message) -> None:
    """Record contact with the leader of this term, and follow it."""
    if state.role is not RaftRole.FOLLOWER:
        state.become_follower(message.term)
    state.leader = message.sender_name
    state.leader_contact_ns = state.now_ns
    state.is_bootstrapped = True
    state.reset_election_deadline()
    state.deferred_to.clear()


def on_append_entries(state: RaftState, message: Message, request: AppendEntries) -> None:
    """Append missing entries, replace conflicting ones, and follow the leader's commit index."""
    _on_leader_contact(state, message)
    log = state.log
    prev_index = request.prev_log_index
    entries = request.entries
    if prev_index < log.snapshot_index:  # entries in the snapshot are committed, so they match
        skipped = min(log.snapshot_index - prev_index, len(entries))
        prev_index += skipped
        entries = entries[skipped:]
        matches = prev_index == log.snapshot_index
    else:
        matches = log.term_at(prev_index) == request.prev_log_term
    if not matches or log.snapshot is None:
        retry_after = min(log.last_index, prev_index - 1) if prev_index else 0
        send_append_response(state, message, request.sent_at_ns, False, retry_after)
        return
    for entry in entries:
        if log.term_at(entry.index) != entry.term:
            state.append_entry(entry)
    match_index = prev_index + len(entries)
    send_append_response(state, message, request.sent_at_ns, True, match_index)
    commit_up_to(state, min(request.leader_commit, match_index))


def on_install_snapshot(state: RaftState, message: Message, request: InstallSnapshot) -> None:
    """Install the leader's snapshot, unless this voter has committed up to its index already."""
    _on_leader_contact(state, message)
    snapshot = request.snapshot
    if snapshot.index > state.commit_index or state.log.snapshot is None:
        state.install_snapshot(snapshot)
        state.commit_index = max(state.commit_index, snapshot.index)
        state.report_committed_snapshot(snapshot)
    send_append_response(state, message, request.sent_at_ns, True, snapshot.index)


def on_append_entries_response(state: RaftState, message: Message, response: AppendEntriesResponse) -> None:
    """As leader, update the sender's progress; a log that became shorter shows a storage rollback."""
    if state.leader_state is None:
        return
    progress = state.leader_state.progress_by_identity.get(message.sender_identity)
    is_unexpected = response.sent_at_ns > state.now_ns or response.match_index > state.log.last_index
    if progress is None or is_unexpected:
        state.dropped[DropReason.UNEXPECTED_RESPONSE] += 1
        return
    progress.last_contact_ns = state.now_ns
    response_id = ResponseId(message.start_count, response.sequence)
    if response.last_log_index < progress.match_index and response_id > progress.matched_by:
        # the sender lost entries that it had on disk: its votes and confirmations must not count any more
        state.dropped[DropReason.ROLLED_BACK_LOG] += 1
        rollback = StorageRollback(message.start_count, message.start_nonce)
        state.queue_message(message.sender_name, rollback, message.sender_identity)
        return
    progress.acknowledged_at_ns = max(progress.acknowledged_at_ns, response.sent_at_ns)
    if response.success:
        _record_match(progress, response, response_id)
    elif response.sent_at_ns >= progress.rejected_at_ns:
        _move_back(state, progress, response)
        send_append_entries(state, Member(message.sender_name, message.sender_identity), progress)


def _record_match(
    progress: FollowerProgress, response: AppendEntriesResponse, response_id: ResponseId
) -> None:
    if response.match_index > progress.match_index or not progress.has_matched:
        progress.match_index = response.match_index
        progress.matched_by = response_id
    progress.next_index = max(progress.next_index, response.match_index + 1)


def _move_back(state: RaftState, progress: FollowerProgress, response: AppendEntriesResponse) -> None:
    """Retry from an earlier entry by the follower's hint, but after those it is known to have (Raft 5.3)."""
    progress.rejected_at_ns = state.now_ns
    hinted_index = min(progress.next_index - 1, response.match_index + 1)
    progress.next_index = max(hinted_index, progress.match_index + 1)


def advance_commit_index(state: RaftState) -> None:
    """As leader, commit up to the highest index on the disks of a quorum, if that entry is of its term."""
    if state.leader_state is None:
        return
    index = state.quorum_value(state.persistence.durable_index, lambda progress: progress.match_index)
    if index > state.commit_index and state.log.term_at(index) == state.term:
        commit_up_to(state, index)
        send_heartbeats(state, state.leader_state)


def commit_up_to(state: RaftState, index: int) -> None:
    """Report newly committed data, and compact the log if it has grown long."""
    if index <= state.commit_index:
        return
    for entry in state.log.entries_between(state.commit_index, index):
        state.report_committed_entry(entry)
    state.commit_index = index
    if state.log.snapshot is not None and _should_compact(state):
        state.compact_log()


def _should_compact(state: RaftState) -> bool:
    limits = state.config.limits
    committed = state.log.entries_between(state.log.snapshot_index, state.commit_index)
    size = sum(len(entry.data) for entry in committed)
    is_large = size > limits.max_committed_bytes and len(committed) > 1
    return len(committed) >= limits.max_committed_entries or is_large

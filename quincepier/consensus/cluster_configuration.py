"""The cluster's configuration: bootstrap, and changes by one voter at a time (thesis 4.1, 4.2.1, 4.4).

Rules:
- A voter is a name together with an identity. The identity is lost with the voter's storage folder.
- The first configuration takes effect once every voter named in the operators' file is bound to it: each has
  the same configuration on its disk. A voter is bound only once.
- After that only the log changes the configuration, by one voter at a time, once the previous change and an
  entry of the leader's term are committed.

A voter that lost its folder is therefore removed and then added under its new identity, by two changes, each
agreed by a quorum.
"""

from __future__ import annotations

from quincepier.consensus.follower_progress import FollowerProgress
from quincepier.consensus.leader_state import LeaderState
from quincepier.consensus.messages import Hello, Message, StorageRollback
from quincepier.consensus.process_starts import ProcessStart
from quincepier.consensus.raft_state import Announcement, DropReason, RaftState
from quincepier.consensus.replication import propose
from quincepier.state.voter_records import MAX_VOTERS, EntryKind, Member, Snapshot

MIN_CONFIGURATION_SIZE = 2


def on_tick(state: RaftState) -> None:
    """As leader, propose a change of the voters that is due; otherwise announce this voter if needed."""
    if state.leader_state is not None:
        propose_configuration_change(state, state.leader_state)
    elif state.now_ns >= state.retry_deadline_ns and needs_announcement(state):
        state.retry_deadline_ns = state.now_ns + state.config.timeouts.retry_interval_ns
        bootstrap_if_complete(state)
        for name in state.config.voters:
            if name != state.config.name:
                state.queue_message(name, Hello(state.configuration))


def needs_announcement(state: RaftState) -> bool:
    """Whether this voter must still announce itself: it is no member yet, or bootstrap is not complete."""
    return not state.is_member or not state.is_bootstrapped


def bootstrap_if_complete(state: RaftState) -> None:
    """On the first voter by name: create the first configuration once all others have announced themselves.

    The other voters bind to the configuration that this voter then announces.
    """
    if not state.is_unbound or state.config.name != min(state.config.voters):
        return
    identity_by_name = {
        name: announcement.identity
        for name, announcement in state.announcement_by_name.items()
        if not announcement.configuration and name in state.config.voters
    }
    if len(identity_by_name) == len(state.config.voters) - 1:
        identity_by_name[state.config.name] = state.identity
        bind_to_configuration(state, _sorted_members(identity_by_name))


def bind_to_configuration(state: RaftState, configuration: tuple[Member, ...]) -> None:
    """Start the log with a snapshot that holds only this configuration."""
    state.install_snapshot(Snapshot(0, 0, configuration))


def on_hello(state: RaftState, message: Message, hello: Hello) -> None:
    """Record an announcement, bind to a first configuration, and answer an unsolicited Hello."""
    state.announcement_by_name[message.sender_name] = Announcement(
        message.sender_identity, hello.configuration, state.now_ns
    )
    if state.is_unbound and _is_first_configuration(state, hello.configuration):
        bind_to_configuration(state, hello.configuration)
    if not state.is_bootstrapped and state.log.snapshot is not None and state.log.last_index == 0:
        state.is_bootstrapped = _are_all_bound(state)
    is_unsolicited = message.receiver_identity == ""
    if is_unsolicited and (state.is_bootstrapped or state.log.snapshot is not None):
        state.queue_message(message.sender_name, Hello(state.configuration), message.sender_identity)


def _is_first_configuration(state: RaftState, configuration: tuple[Member, ...]) -> bool:
    names = tuple(member.name for member in configuration)
    own = Member(state.config.name, state.identity)
    return names == tuple(sorted(state.config.voters)) and own in configuration


def _are_all_bound(state: RaftState) -> bool:
    """Whether every other voter has announced this voter's configuration, under the identity in it."""
    return all(member.name == state.config.name or _is_bound(state, member) for member in state.configuration)


def _is_bound(state: RaftState, member: Member) -> bool:
    announcement = state.announcement_by_name.get(member.name)
    return (
        announcement is not None
        and announcement.identity == member.identity
        and announcement.configuration == state.configuration
    )


def propose_configuration_change(state: RaftState, leader_state: LeaderState) -> None:
    """Propose the next removal or addition, if one is needed and allowed now (thesis 4.1, 4.2.1)."""
    has_committed_in_term = state.commit_index >= leader_state.first_index
    is_change_pending = state.log.configuration_index > state.commit_index
    if not has_committed_in_term or is_change_pending:
        return
    identity_by_name = {member.name: member.identity for member in state.configuration}
    removed = _voter_to_remove(state, leader_state, identity_by_name)
    if removed is not None:
        del identity_by_name[removed]
        propose_configuration(state, leader_state, _sorted_members(identity_by_name))
        return
    added = _voter_to_add(state, leader_state, identity_by_name)
    if added is not None:
        identity_by_name[added.name] = added.identity
        propose_configuration(state, leader_state, _sorted_members(identity_by_name))


def _voter_to_remove(
    state: RaftState, leader_state: LeaderState, identity_by_name: dict[str, str]
) -> str | None:
    """Return a voter that the operators' file no longer names, or that restarted under another identity."""
    if len(identity_by_name) <= MIN_CONFIGURATION_SIZE:
        return None
    for name, identity in identity_by_name.items():
        is_self = name == state.config.name
        is_unlisted = name not in state.config.voters
        progress = leader_state.progress_by_identity.get(identity)
        if not is_self and (is_unlisted or _has_lost_identity(state, name, identity, progress)):
            return name
    return None


def _has_lost_identity(state: RaftState, name: str, identity: str, progress: FollowerProgress | None) -> bool:
    """Whether a voter has announced another identity while its known identity no longer responds.

    While the known identity still responds, the announcement is from a second process under that name.
    """
    announcement = state.announcement_by_name.get(name)
    if announcement is None or announcement.identity == identity:
        return False
    silence_ns = state.config.timeouts.max_election_timeout_ns
    return progress is None or state.now_ns - progress.last_contact_ns >= silence_ns


def _voter_to_add(
    state: RaftState, leader_state: LeaderState, identity_by_name: dict[str, str]
) -> Member | None:
    """Return a voter that the operators' file names and whose log has caught up (thesis 4.2.1)."""
    if len(identity_by_name) >= MAX_VOTERS:
        return None
    max_age_ns = state.config.timeouts.max_election_timeout_ns
    for name in state.config.voters:
        announcement = state.announcement_by_name.get(name)
        if name in identity_by_name or announcement is None:
            continue
        if state.now_ns - announcement.received_at_ns > max_age_ns:
            continue
        progress = leader_state.progress_by_identity.setdefault(
            announcement.identity, FollowerProgress(0, last_contact_ns=state.now_ns)
        )
        committed_index = max(state.log.snapshot_index, state.commit_index)
        if progress.has_matched and progress.match_index >= committed_index:
            return Member(name, announcement.identity)
    return None


def propose_configuration(
    state: RaftState, leader_state: LeaderState, configuration: tuple[Member, ...]
) -> None:
    """Append a configuration, which takes effect at once, and drop the progress of voters not in it."""
    propose(state, EntryKind.CONFIGURATION, configuration=configuration)
    identities = {member.identity for member in configuration}
    for identity in list(leader_state.progress_by_identity):
        if identity not in identities:
            del leader_state.progress_by_identity[identity]


def _sorted_members(identity_by_name: dict[str, str]) -> tuple[Member, ...]:
    return tuple(Member(name, identity_by_name[name]) for name in sorted(identity_by_name))


def accept_start(state: RaftState, message: Message) -> bool:
    """Return True unless a newer process start of the sender is known; then notify it of its rollback."""
    start = ProcessStart(message.start_count, message.start_nonce)
    if state.process_starts.accept(message.sender_name, message.sender_identity, start):
        return True
    state.dropped[DropReason.STALE_START] += 1
    rollback = StorageRollback(message.start_count, message.start_nonce)
    state.queue_message(message.sender_name, rollback, message.sender_identity)
    return False


def on_storage_rollback(state: RaftState, rollback: StorageRollback) -> None:
    """Start over under another identity, if the message refers to this process start."""
    if (rollback.start_count, rollback.start_nonce) == (state.start_count, state.start_nonce):
        state.storage_rollbacks += 1
        state.reset_identity()

"""A snapshot of a front's inputs and rule decisions, with Merkle trees over them, computed in slices."""

from __future__ import annotations

from collections.abc import Iterator

from quincepier.consistency.arithmetic import Arithmetic, compute_canaries
from quincepier.consistency.decision import DecisionInputs, DecisionKey, DecisionRules, RankingCache
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.key_sample import sample_keys
from quincepier.consistency.leaf_fields import (
    LeafFields,
    decision_fields,
    endpoint_fields,
    leaf_digest,
    settings_leaves,
    truncate_fields,
    version_leaves,
)
from quincepier.consistency.merkle_tree import MAX_LABEL_LENGTH, MerkleTree
from quincepier.consistency.messages import (
    MAX_BUILD_LENGTH,
    MAX_LEAF_FIELDS,
    DigestRequest,
    DigestResponse,
    LeafResponse,
    TreeKind,
)

CANARY_COST = 320  # cost of the canaries, in hashes
SETTINGS_COST = 100  # cost of the settings tree, in hashes
ENDPOINTS_PER_YIELD = 64  # endpoints processed before a slice may end


class Snapshot:
    """One front's snapshot for one round: call `advance` until it is complete, then read trees and leaves."""

    def __init__(
        self,
        request: DigestRequest,
        inputs: DecisionInputs,
        arithmetic: Arithmetic,
        ranking_cache: RankingCache | None,
    ) -> None:
        self.request = request
        self.inputs = inputs
        self.is_complete = False
        self._arithmetic = arithmetic
        self._rules = DecisionRules(inputs, arithmetic, ranking_cache)
        self._keys = list[DecisionKey]()
        self._trees = dict[TreeKind, MerkleTree]()
        self._work = self._compute()

    def advance(self, max_hashes: int) -> bool:
        """Do work of about `max_hashes` hashes (2 to 3 us each), or one decision more; True when complete."""
        spent = 0
        while not self.is_complete and spent < max_hashes:
            cost = next(self._work, None)
            self.is_complete = cost is None
            spent += cost or 0
        return self.is_complete

    def _compute(self) -> Iterator[int]:
        """Compute all digests and yield the cost of each step, in hashes.

        No digest of an earlier round is reused, since it would hide a later corruption of the inputs.
        """
        inputs = self.inputs
        self._canaries = compute_canaries(self._arithmetic)
        yield CANARY_COST
        self._rule_version_digest = bytes.fromhex(inputs.rule_version.digest)
        self._trees[TreeKind.SETTINGS] = _tree_of(settings_leaves(inputs))
        yield SETTINGS_COST
        yield from self._compute_endpoints()
        yield from self._compute_decisions()

    def _compute_endpoints(self) -> Iterator[int]:
        digests = dict[str, bytes]()
        for index, endpoint in enumerate(self.inputs.endpoints):
            digests[endpoint.host] = leaf_digest(endpoint)
            if index % ENDPOINTS_PER_YIELD == ENDPOINTS_PER_YIELD - 1:
                yield ENDPOINTS_PER_YIELD
        self._trees[TreeKind.ENDPOINTS] = MerkleTree(digests)

    def _compute_decisions(self) -> Iterator[int]:
        request = self.request
        digests = dict[str, bytes]()
        self._keys = sample_keys(request.rule_version, request.round_id, request.sample_size, self.inputs)
        for index, key in enumerate(self._keys):
            digests[str(index)] = leaf_digest((key, self._rules.decide(key)))
            yield self._rules.count_hashes(key)
        self._trees[TreeKind.DECISIONS] = MerkleTree(digests)

    def to_digest_response(
        self, unexplained_decisions: int, stale_rankings: int, is_cautious: bool
    ) -> DigestResponse:
        """Return the digests of the complete snapshot, with the faults counted since the last response."""
        return DigestResponse(
            round_id=self.request.round_id,
            rule_version=self.inputs.rule_version.number,
            rule_version_digest=self._rule_version_digest,
            list_revision=self.inputs.list_revision,
            endpoints_digest=self._trees[TreeKind.ENDPOINTS].root,
            settings_digest=self._trees[TreeKind.SETTINGS].root,
            build=self.inputs.build[:MAX_BUILD_LENGTH],
            hash_canary=self._canaries.hash,
            float_canary=self._canaries.floats,
            decisions_digest=self._trees[TreeKind.DECISIONS].root,
            unexplained_decisions=unexplained_decisions,
            stale_rankings=stale_rankings,
            is_cautious=is_cautious,
        )

    def tree(self, kind: TreeKind) -> MerkleTree:
        """Return the tree of a kind; the tree of the rule version is built on first use."""
        if kind is TreeKind.RULE_VERSION and kind not in self._trees:
            self._trees[kind] = _tree_of(version_leaves(self.inputs))
        return self._trees[kind]

    def to_leaf_response(self, kind: TreeKind, label: str) -> LeafResponse:
        """Return the fields of a leaf.

        Raises:
            ConsistencyError: There is no such key or endpoint.
        """
        round_id = self.request.round_id
        if kind is TreeKind.DECISIONS:
            key = self._find_key(label)
            fields = truncate_fields(decision_fields(self._rules.decide(key)), MAX_LEAF_FIELDS)
            recomputed = DecisionRules(self.inputs, self._arithmetic).decide(key)
            name = str(key)[:MAX_LABEL_LENGTH]
            return LeafResponse(round_id, kind, label, name, fields, leaf_digest((key, recomputed)))
        fields = truncate_fields(self._find_fields(kind, label), MAX_LEAF_FIELDS)
        return LeafResponse(round_id, kind, label, "", fields)

    def _find_key(self, label: str) -> DecisionKey:
        index = int(label) if label.isdecimal() else len(self._keys)
        if index >= len(self._keys):
            raise ConsistencyError("no such key in the sample", label)
        return self._keys[index]

    def _find_fields(self, kind: TreeKind, label: str) -> LeafFields:
        if kind is TreeKind.RULE_VERSION:
            return version_leaves(self.inputs).get(label, ())
        if kind is TreeKind.SETTINGS:
            return settings_leaves(self.inputs).get(label, ())
        endpoint = next((e for e in self.inputs.endpoints if e.host == label), None)
        if endpoint is None:
            raise ConsistencyError("no such endpoint in the list", label)
        return endpoint_fields(endpoint)


def _tree_of(leaves: dict[str, LeafFields]) -> MerkleTree:
    return MerkleTree({label: leaf_digest(fields) for label, fields in leaves.items()})

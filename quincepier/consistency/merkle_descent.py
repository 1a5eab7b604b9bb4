"""The descent through the Merkle trees of two fronts to the leaf and field in which they differ."""

from __future__ import annotations

from quincepier.consistency.findings import Divergence, DivergenceKind, DivergentValue, Finding
from quincepier.consistency.messages import (
    MAX_PATH_LENGTH,
    LeafRequest,
    LeafResponse,
    SubtreeRequest,
    SubtreeResponse,
    TreeKind,
)

ITEM_NAMES: dict[TreeKind, str] = {
    TreeKind.RULE_VERSION: "entry",
    TreeKind.SETTINGS: "setting",
    TreeKind.ENDPOINTS: "endpoint",
    TreeKind.DECISIONS: "key",
}
PRESENT = "present"


class MerkleDescent:
    """The search for one difference between a diverging front and a reference front.

    The collector sends `request` to both fronts. `on_response` takes their responses; when both have arrived,
    it sets the next request or `finding`.
    """

    def __init__(
        self, round_id: int, rule_version: int, divergence: Divergence, reference: str, tree: TreeKind
    ) -> None:
        self.attempts = 0  # how many times the current request was sent
        self.requested_at_ns = 0
        self.finding: Finding | None = None
        self._round_id = round_id
        self._rule_version = rule_version
        self._divergence = divergence
        self._reference = reference
        self._tree = tree
        self._path = ""
        self._expand = False
        self._label = ""  # of the differing leaf, when known
        self._leaf_digest = b""
        self._responses = dict[str, SubtreeResponse | LeafResponse]()

    @property
    def request(self) -> SubtreeRequest | LeafRequest:
        """The current request to both fronts."""
        if self._label:
            return LeafRequest(self._round_id, self._tree, self._label)
        return SubtreeRequest(self._round_id, self._tree, self._path, self._expand)

    @property
    def awaited_fronts(self) -> list[str]:
        """The fronts that have not responded to the current request."""
        fronts = (self._divergence.front, self._reference)
        return [front for front in fronts if front not in self._responses]

    def record_request(self, now_ns: int) -> None:
        """Count the current request as sent to the awaited fronts at `now_ns`."""
        self.requested_at_ns = now_ns
        self.attempts += 1

    def on_response(self, sender: str, response: SubtreeResponse | LeafResponse) -> bool:
        """Handle a response; return True when both are complete and the next request or finding is set."""
        if not self._matches_request(response) or sender not in self.awaited_fronts:
            return False
        self._responses[sender] = response
        if self.awaited_fronts:
            return False
        diverging = self._responses[self._divergence.front]
        reference = self._responses[self._reference]
        self._responses = {}
        self.attempts = 0
        if isinstance(diverging, SubtreeResponse) and isinstance(reference, SubtreeResponse):
            self._compare_subtrees(diverging, reference)
        elif isinstance(diverging, LeafResponse) and isinstance(reference, LeafResponse):
            self._compare_leaves(diverging, reference)
        return True

    def finish(self, value: DivergentValue | None = None, kind: DivergenceKind | None = None) -> None:
        """Set the finding; pass no value if the difference could not be located."""
        self.finding = Finding(
            self._round_id,
            self._rule_version,
            kind or self._divergence.kind,
            self._divergence.front,
            True,
            value or DivergentValue(),
        )

    def _matches_request(self, response: SubtreeResponse | LeafResponse) -> bool:
        if response.tree is not self._tree:
            return False
        if isinstance(response, SubtreeResponse):
            return response.path == self._path and not self._label
        return response.label == self._label != ""

    def _compare_subtrees(self, diverging: SubtreeResponse, reference: SubtreeResponse) -> None:
        if diverging.children and reference.children and not diverging.leaves and not reference.leaves:
            self._descend(diverging, reference)
        elif diverging.children or reference.children:
            self._expand = True  # only one front has few enough leaves to list: compare digests instead
        else:
            self._select_leaf(diverging, reference)

    def _descend(self, diverging: SubtreeResponse, reference: SubtreeResponse) -> None:
        pairs = enumerate(zip(diverging.children, reference.children, strict=True))
        digit = next((index for index, (own, peer) in pairs if own != peer), None)
        if digit is None or len(self._path) >= MAX_PATH_LENGTH:
            self.finish()
        else:
            self._path = f"{self._path}{digit:x}"
            self._expand = False

    def _select_leaf(self, diverging: SubtreeResponse, reference: SubtreeResponse) -> None:
        diverging_digests = {leaf.label: leaf.digest for leaf in diverging.leaves}
        reference_digests = {leaf.label: leaf.digest for leaf in reference.leaves}
        label = next(
            (
                name
                for name in sorted(diverging_digests | reference_digests)
                if diverging_digests.get(name) != reference_digests.get(name)
            ),
            None,
        )
        if label is None:
            self.finish()  # the trees changed since the round, so the difference is not known
        elif label in diverging_digests and label in reference_digests:
            self._label = label
            self._leaf_digest = diverging_digests[label]
        else:
            item = f"{ITEM_NAMES[self._tree]} {label}"
            self.finish(
                DivergentValue(
                    item,
                    diverging=PRESENT if label in diverging_digests else "",
                    reference=PRESENT if label in reference_digests else "",
                )
            )

    def _compare_leaves(self, diverging: LeafResponse, reference: LeafResponse) -> None:
        diverging_texts = {field.name: field.text for field in diverging.fields}
        reference_texts = {field.name: field.text for field in reference.fields}
        field = next(
            (
                name
                for name in diverging_texts | reference_texts
                if diverging_texts.get(name) != reference_texts.get(name)
            ),
            "",
        )
        item = diverging.key or f"{ITEM_NAMES[self._tree]} {self._label}"
        value = DivergentValue(item, field, diverging_texts.get(field, ""), reference_texts.get(field, ""))
        kind = self._divergence.kind
        if kind is DivergenceKind.DECISION and self._is_stale(diverging):
            kind = DivergenceKind.STALE_RANKINGS
        self.finish(value, kind)

    def _is_stale(self, diverging: LeafResponse) -> bool:
        """Whether the front decides differently if it computes the key without its ranking cache."""
        recomputed = diverging.recomputed_digest
        return self._tree is TreeKind.DECISIONS and bool(recomputed) and recomputed != self._leaf_digest

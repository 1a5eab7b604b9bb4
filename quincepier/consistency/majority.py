"""Detection of fronts that diverge from the majority, by digests of inputs and of decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from quincepier.consistency.findings import Divergence, DivergenceKind
from quincepier.consistency.messages import DigestResponse

Responses = Mapping[str, DigestResponse]  # by front


@dataclass(slots=True, frozen=True)
class Minority:
    """The fronts outside the majority, and one front of the majority, "" if there is no majority."""

    fronts: frozenset[str] = frozenset()
    reference: str = ""


@dataclass(slots=True, frozen=True)
class DecisionInputDigests:
    """Digests of the inputs of a front's decisions; fronts with equal ones must decide alike."""

    rule_version: int
    rule_version_digest: bytes
    endpoints_digest: bytes
    settings_digest: bytes


def input_digests(response: DigestResponse) -> DecisionInputDigests:
    """Return the digests of the inputs of a front's decisions."""
    return DecisionInputDigests(
        response.rule_version,
        response.rule_version_digest,
        response.endpoints_digest,
        response.settings_digest,
    )


def reference_list_revision(responses: Responses) -> int:
    """Return the list revision by which lag is judged: the median, so that one front can't shift it far."""
    revisions = sorted(response.list_revision for response in responses.values())
    return revisions[(len(revisions) - 1) // 2] if revisions else 0


def find_minority(values: Mapping[str, object], front_count: int) -> Minority:
    """Find the fronts whose value differs from the majority's value.

    If a group has no majority, all its fronts are returned, but only if they are more than half of all
    fronts. Otherwise two lagging fronts that differ from each other would both be reported.

    Args:
        values: The compared value of each front of the group.
        front_count: Number of all fronts that responded.
    """
    counts = Counter(values.values())
    if len(counts) < 2:
        return Minority()
    value, count = counts.most_common(1)[0]
    if 2 * count > len(values):
        majority = sorted(front for front, front_value in values.items() if front_value == value)
        return Minority(frozenset(values.keys() - set(majority)), majority[0])
    return Minority(frozenset(values)) if 2 * len(values) > front_count else Minority()


def find_divergences(
    responses: Responses, list_lag_ns: Callable[[int], int], max_list_lag_ns: int
) -> list[Divergence]:
    """Return the divergences of all fronts from the majority.

    Args:
        responses: The digests of each front.
        list_lag_ns: Returns the time in nanoseconds since a list revision was superseded.
        max_list_lag_ns: The longest such lag that is no fault, in nanoseconds.
    """
    arithmetic = _find_arithmetic_divergences(responses)
    settings = _compare(DivergenceKind.SETTINGS, responses, responses, lambda r: r.settings_digest)
    versions = _find_version_divergences(responses)
    lists = _find_list_divergences(responses)
    inputs = [*arithmetic, *settings, *versions, *lists]
    return [
        *arithmetic,
        *settings,
        *versions,
        *_find_lagging_versions(responses),
        *lists,
        *_find_lagging_lists(responses, list_lag_ns, max_list_lag_ns),
        *_find_decision_divergences(responses, {divergence.front for divergence in inputs}),
        *(
            Divergence(DivergenceKind.STALE_RANKINGS, f)
            for f in sorted(responses)
            if responses[f].stale_rankings
        ),
        *(
            Divergence(DivergenceKind.UNEXPLAINED_DECISION, f)
            for f in sorted(responses)
            if responses[f].unexplained_decisions
        ),
    ]


def _compare(
    kind: DivergenceKind,
    responses: Responses,
    fronts: Iterable[str],
    value_of: Callable[[DigestResponse], object],
) -> list[Divergence]:
    """Return the divergences in one value among a group of fronts."""
    minority = find_minority({front: value_of(responses[front]) for front in sorted(fronts)}, len(responses))
    return [Divergence(kind, front, minority.reference) for front in sorted(minority.fronts)]


def _find_arithmetic_divergences(responses: Responses) -> list[Divergence]:
    """Return divergences in hash or scores; scores are compared only at fronts whose hash agrees."""
    hashes = _compare(DivergenceKind.HASH_FUNCTION, responses, responses, lambda r: r.hash_canary)
    others = responses.keys() - {divergence.front for divergence in hashes}
    return [*hashes, *_compare(DivergenceKind.FLOAT_ARITHMETIC, responses, others, lambda r: r.float_canary)]


def _find_version_divergences(responses: Responses) -> list[Divergence]:
    """Return fronts whose rule version differs from the majority's version of the same number."""
    divergences = list[Divergence]()
    for number in sorted({response.rule_version for response in responses.values()}):
        holders = [front for front, response in responses.items() if response.rule_version == number]
        divergences += _compare(
            DivergenceKind.VERSION_CONTENT, responses, holders, lambda r: r.rule_version_digest
        )
    return divergences


def _find_lagging_versions(responses: Responses) -> list[Divergence]:
    newest = max((response.rule_version for response in responses.values()), default=0)
    lagging = [front for front in sorted(responses) if responses[front].rule_version < newest]
    return [Divergence(DivergenceKind.LAGGING_VERSION, front) for front in lagging]


def _find_list_divergences(responses: Responses) -> list[Divergence]:
    """Return fronts whose endpoint list differs from the majority's list of the same revision."""
    divergences = list[Divergence]()
    for revision in sorted({response.list_revision for response in responses.values()}):
        holders = [front for front, response in responses.items() if response.list_revision == revision]
        divergences += _compare(DivergenceKind.LIST_CONTENT, responses, holders, lambda r: r.endpoints_digest)
    return divergences


def _find_lagging_lists(
    responses: Responses, list_lag_ns: Callable[[int], int], max_list_lag_ns: int
) -> list[Divergence]:
    """Return fronts whose endpoint list is older than the reference revision and has other content."""
    reference = reference_list_revision(responses)
    current = {r.endpoints_digest for r in responses.values() if r.list_revision == reference}
    divergences = list[Divergence]()
    for front, response in sorted(responses.items()):
        if response.list_revision < reference and response.endpoints_digest not in current:
            is_outdated = list_lag_ns(response.list_revision) > max_list_lag_ns
            kind = DivergenceKind.OUTDATED_LIST if is_outdated else DivergenceKind.LAGGING_LIST
            divergences.append(Divergence(kind, front))
    return divergences


def _find_decision_divergences(responses: Responses, explained: set[str]) -> list[Divergence]:
    """Return fronts whose decisions differ despite equal inputs, or whose build differs.

    Args:
        responses: The digests of each front.
        explained: Fronts whose inputs or arithmetic diverge, which explains different decisions.
    """
    reference_by_front = _find_deviating_decisions(responses)
    builds = find_minority({f: responses[f].build for f in sorted(responses)}, len(responses))
    # While half of the fleet is upgraded, there is no majority and neither build counts as diverging.
    other_builds = sorted(f for f in builds.fronts if builds.reference or f in reference_by_front)
    by_build = [
        Divergence(
            DivergenceKind.BUILD, f, reference_by_front.get(f, builds.reference), f in reference_by_front
        )
        for f in other_builds
    ]
    explained_or_other_build = explained.union(other_builds)
    unexplained = [
        Divergence(DivergenceKind.DECISION, front, reference)
        for front, reference in sorted(reference_by_front.items())
        if front not in explained_or_other_build
    ]
    return [*by_build, *unexplained]


def _find_deviating_decisions(responses: Responses) -> dict[str, str]:
    """Return each front that decides differently by equal inputs, with a front of the majority."""
    groups = dict[DecisionInputDigests, list[str]]()
    for front in sorted(responses):
        groups.setdefault(input_digests(responses[front]), []).append(front)
    reference_by_front = dict[str, str]()
    for group in groups.values():
        decisions = {front: responses[front].decisions_digest for front in group}
        minority = find_minority(decisions, len(responses))
        reference_by_front |= dict.fromkeys(minority.fronts, minority.reference)
    return reference_by_front

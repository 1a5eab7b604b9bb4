"""Which fronts are outside the majority, judged by their digests: inputs first, then decisions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from quincepier.consistency.findings import Divergence, DivergenceKind
from quincepier.consistency.messages import DigestResponse

Responses = Mapping[str, DigestResponse]  # by front


@dataclass(slots=True, frozen=True)
class Minority:
    """The fronts outside the majority, and one front of the majority; empty where there is no majority."""

    fronts: frozenset[str] = frozenset()
    reference: str = ""


@dataclass(slots=True, frozen=True)
class DecisionInputDigests:
    """What a front's decisions follow from; fronts with equal ones must decide alike."""

    rule_version: int
    rule_version_digest: bytes
    endpoints_digest: bytes
    settings_digest: bytes


def input_digests(response: DigestResponse) -> DecisionInputDigests:
    """The inputs of a front's decisions."""
    return DecisionInputDigests(
        response.rule_version,
        response.rule_version_digest,
        response.endpoints_digest,
        response.settings_digest,
    )


def reference_list_revision(responses: Responses) -> int:
    """The list revision that others lag behind: the median, so that one far-off front makes nobody late."""
    revisions = sorted(response.list_revision for response in responses.values())
    return revisions[(len(revisions) - 1) // 2] if revisions else 0


def find_minority(values: Mapping[str, object], front_count: int) -> Minority:
    """Find the fronts whose value is not the majority's.

    A group without a majority is judged only where it is more than half of all fronts: two lagging fronts
    that differ from each other would otherwise both be blamed.

    Args:
        values: The compared value of each front of the group.
        front_count: Number of all fronts that responded.
    """
    counts = Counter(values.values())
    if len(counts) < 2:
        return Minority()
    value, count = counts.most_common(1)[0]
    if 2 * count > len(values):
        majority = sorted(front for front, own in values.items() if own == value)
        return Minority(frozenset(values.keys() - set(majority)), majority[0])
    return Minority(frozenset(values)) if 2 * len(values) > front_count else Minority()


def find_divergences(
    responses: Responses, list_lag_ns: Callable[[int], int], max_list_lag_ns: int
) -> list[Divergence]:
    """Find the fronts outside the majority, and in what they diverge.

    Args:
        responses: The digests of each front.
        list_lag_ns: For how long a list revision has been behind that of most fronts, in nanoseconds.
        max_list_lag_ns: The longest such lag that is no fault.
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
        *_find_late_versions(responses),
        *lists,
        *_find_late_lists(responses, list_lag_ns, max_list_lag_ns),
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
    """Divergences in one value among a group of fronts."""
    minority = find_minority({front: value_of(responses[front]) for front in sorted(fronts)}, len(responses))
    return [Divergence(kind, front, minority.reference) for front in sorted(minority.fronts)]


def _find_arithmetic_divergences(responses: Responses) -> list[Divergence]:
    """Hash first: scores of another hash differ too."""
    hashes = _compare(DivergenceKind.HASH_FUNCTION, responses, responses, lambda r: r.hash_canary)
    others = responses.keys() - {divergence.front for divergence in hashes}
    return [*hashes, *_compare(DivergenceKind.FLOAT_ARITHMETIC, responses, others, lambda r: r.float_canary)]


def _find_version_divergences(responses: Responses) -> list[Divergence]:
    """Fronts whose rule version has other content than the majority's of the same number."""
    found = list[Divergence]()
    for number in sorted({response.rule_version for response in responses.values()}):
        holders = [front for front, response in responses.items() if response.rule_version == number]
        found += _compare(DivergenceKind.VERSION_CONTENT, responses, holders, lambda r: r.rule_version_digest)
    return found


def _find_late_versions(responses: Responses) -> list[Divergence]:
    newest = max((response.rule_version for response in responses.values()), default=0)
    late = [front for front in sorted(responses) if responses[front].rule_version < newest]
    return [Divergence(DivergenceKind.LAGGING_VERSION, front) for front in late]


def _find_list_divergences(responses: Responses) -> list[Divergence]:
    """Fronts whose endpoint list has other content than the majority's of the same revision."""
    found = list[Divergence]()
    for revision in sorted({response.list_revision for response in responses.values()}):
        holders = [front for front, response in responses.items() if response.list_revision == revision]
        found += _compare(DivergenceKind.LIST_CONTENT, responses, holders, lambda r: r.endpoints_digest)
    return found


def _find_late_lists(
    responses: Responses, list_lag_ns: Callable[[int], int], max_list_lag_ns: int
) -> list[Divergence]:
    """Fronts whose endpoint list is older than most and has other content."""
    reference = reference_list_revision(responses)
    current = {r.endpoints_digest for r in responses.values() if r.list_revision == reference}
    found = list[Divergence]()
    for front, response in sorted(responses.items()):
        if response.list_revision < reference and response.endpoints_digest not in current:
            is_too_late = list_lag_ns(response.list_revision) > max_list_lag_ns
            kind = DivergenceKind.OUTDATED_LIST if is_too_late else DivergenceKind.LAGGING_LIST
            found.append(Divergence(kind, front))
    return found


def _find_decision_divergences(responses: Responses, explained: set[str]) -> list[Divergence]:
    """Fronts whose decisions differ from those of fronts with equal inputs, by build where that differs.

    Args:
        responses: The digests of each front.
        explained: Fronts whose inputs or arithmetic diverge, which explains other decisions.
    """
    reference_by_front = _find_deviating_decisions(responses)
    builds = find_minority({f: responses[f].build for f in sorted(responses)}, len(responses))
    # Where half of the fleet is upgraded there is no majority, and neither build is the other one.
    other_builds = sorted(f for f in builds.fronts if builds.reference or f in reference_by_front)
    by_build = [
        Divergence(
            DivergenceKind.BUILD, f, reference_by_front.get(f, builds.reference), f in reference_by_front
        )
        for f in other_builds
    ]
    named = explained.union(other_builds)
    unexplained = [
        Divergence(DivergenceKind.DECISION, front, reference)
        for front, reference in sorted(reference_by_front.items())
        if front not in named
    ]
    return [*by_build, *unexplained]


def _find_deviating_decisions(responses: Responses) -> dict[str, str]:
    """A front of the majority by each front that decides otherwise by equal inputs."""
    groups = dict[DecisionInputDigests, list[str]]()
    for front in sorted(responses):
        groups.setdefault(input_digests(responses[front]), []).append(front)
    reference_by_front = dict[str, str]()
    for group in groups.values():
        decisions = {front: responses[front].decisions_digest for front in group}
        minority = find_minority(decisions, len(responses))
        reference_by_front |= dict.fromkeys(minority.fronts, minority.reference)
    return reference_by_front

"""Claims of full service are judged by the tries that end in the seconds after them."""

from __future__ import annotations

from quincepier.lab.experiment import SECOND
from quincepier.lab.fleet.claims import Claims

FAULT, CLAIM = 6 * SECOND, 8 * SECOND
USUAL = 0.9


def claims_with_share_after(served_after: float) -> Claims:
    """Return 50 tries per second at front 1: nine in ten served before its claim, this share after it."""
    claims = Claims()
    for n in range(50 * 12):
        when = n * SECOND // 50
        share = served_after if when >= CLAIM else USUAL
        claims.on_try(1, when, 1.0, 1.0 if n % 100 < 100 * share else 0.0)
    return claims


def test_a_front_that_serves_far_less_than_was_usual_claims_falsely() -> None:
    (claim,) = claims_with_share_after(0.5).judge([(CLAIM, 1)], 0, [FAULT])
    assert claim.is_false and claim.tries == 125


def test_a_front_that_serves_nearly_what_was_usual_claims_rightly() -> None:
    (claim,) = claims_with_share_after(0.85).judge([(CLAIM, 1)], 0, [FAULT])
    assert not claim.is_false


def test_tries_that_the_next_fault_may_hit_do_not_count() -> None:
    (claim,) = claims_with_share_after(0.5).judge([(CLAIM, 1)], 0, [FAULT, CLAIM + SECOND // 2])
    assert claim.tries == 0 and not claim.is_false


def test_no_claim_is_judged_without_faults() -> None:
    """A scenario that kills fronts itself records no faults, so failures can't be held against a claim."""
    assert not list(claims_with_share_after(0.0).judge([(CLAIM, 1)], 0, []))

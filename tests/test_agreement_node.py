"""The agreement node of one front: its start, and the imports without its sections."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from types import SimpleNamespace
from typing import Any

from quincepier.checks import Checks
from quincepier.net.fleet.node import AgreementNode
from tests.fleetkit import deliver_version, grant_lease, make_front, make_version


def test_a_start_waits_for_a_response_and_not_for_an_announced_version() -> None:
    effects, follower, _ = make_front()
    node: Any = SimpleNamespace(
        effects=effects, follower=follower, has_first_answer=asyncio.Event(), checks=Checks()
    )
    deliver_version(follower, make_version(4))
    AgreementNode._apply_adopted_version(node, "a")
    assert not node.has_first_answer.is_set()
    grant_lease(follower, 4, 0)
    AgreementNode._apply_adopted_version(node, "a")
    assert node.has_first_answer.is_set()


def test_the_agreement_packages_are_not_imported_without_their_sections() -> None:
    code = (
        "import sys, quincepier.lifecycle.front, quincepier.lifecycle.operators\n"
        "imported = [m for m in sys.modules if m.startswith('quincepier.') and m.split('.')[1] in\n"
        "         ('consensus', 'consistency', 'maintenance', 'membership', 'rules', 'tenancy')\n"
        "         or m.startswith(('quincepier.net.fleet', 'quincepier.net.peers'))]\n"
        "assert not imported, imported"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)

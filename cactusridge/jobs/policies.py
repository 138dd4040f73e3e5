"""Batch scheduling policies selected in the start-up settings."""

from types import MappingProxyType
from typing import NamedTuple

from cactusridge.dispatch.claims import (
    AnnouncedClaims,
    ClaimRule,
    GrantAllClaims,
)
from cactusridge.jobs.urgency import DueFirst, OnTimeFirst, Urgency
from cactusridge.startup.models import DirectPolicy

URGENCIES = MappingProxyType(
    {'on_time_first': OnTimeFirst, 'due_first': DueFirst},
)
CLAIMS = MappingProxyType({'told': AnnouncedClaims, 'none': GrantAllClaims})


class BatchPolicies(NamedTuple):
    """Policies for the order of items and for contended slots."""

    urgency: Urgency
    claims: ClaimRule


def make_policies(names: DirectPolicy) -> BatchPolicies:
    """Return the policies named in ``names``."""
    return BatchPolicies(URGENCIES[names.items](), CLAIMS[names.claims]())

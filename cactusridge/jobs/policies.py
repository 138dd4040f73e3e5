"""The decisions on batch items that the start settings name."""

from types import MappingProxyType
from typing import NamedTuple

from cactusridge.dispatch.claims import ClaimRule, NoClaims, ToldClaims
from cactusridge.jobs.urgency import DueFirst, OnTimeFirst, Urgency
from cactusridge.startup.models import DirectPolicy

URGENCIES = MappingProxyType(
    {'on_time_first': OnTimeFirst, 'due_first': DueFirst},
)
CLAIMS = MappingProxyType({'told': ToldClaims, 'none': NoClaims})


class BatchPolicies(NamedTuple):
    """Which item starts first, and who gets a slot that several want."""

    urgency: Urgency
    claims: ClaimRule


def make_policies(names: DirectPolicy) -> BatchPolicies:
    """Return the decisions that ``names`` chooses."""
    return BatchPolicies(URGENCIES[names.items](), CLAIMS[names.claims]())

"""The decisions on online requests that the start settings name."""

import random
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.dispatch.admission import Admission, Everybody, InTime
from cactusridge.dispatch.placement import AnyReplica, LeastOnline, Placing
from cactusridge.dispatch.returns import AfterBurst, NextSlot, Returns
from cactusridge.peers.cell_rules import ByZone, CellRule, OneCell
from cactusridge.routing.outliers import (
    OutlierDetector,
    OutlierEjector,
    TrustAll,
)
from cactusridge.startup.models import DirectPolicy

# A replica that broke off or fell silent is out of choice for this long,
# in seconds, doubled by each failure that follows: one that is gone is
# missed by the list of replicas for seconds, one that broke off once is
# soon back. An answer of 500 may be the request's fault: two in a row.
EJECT_FAILURES = 2
EJECT_FIRST_S = 0.4
EJECT_MOST_S = 4.0

PLACINGS = MappingProxyType({'least_online': LeastOnline, 'any': AnyReplica})
ADMISSIONS = MappingProxyType({'in_time': InTime, 'everybody': Everybody})

CELL_RULES = MappingProxyType({'by_zone': ByZone, 'one': OneCell})


class DispatchPolicies(NamedTuple):
    """Which replica, who is refused, and when they are to come back."""

    placing: Placing
    admission: Admission
    returns: Returns


def make_policies(names: DirectPolicy) -> DispatchPolicies:
    """Return the decisions that ``names`` chooses."""
    returns: Returns = AfterBurst(random.Random())  # noqa: S311
    if names.returns == 'next_slot':
        returns = NextSlot()
    return DispatchPolicies(
        PLACINGS[names.placing](),
        ADMISSIONS[names.admission](),
        returns,
    )


def make_cell_rule(names: DirectPolicy) -> CellRule:
    """Return the division of large fleets that ``names`` chooses."""
    return CELL_RULES[names.cells]()


def make_outliers(names: DirectPolicy, clock: Clock) -> OutlierDetector:
    """Return the ejection of replicas that ``names`` chooses."""
    if names.outliers == 'trust':
        return TrustAll()
    return OutlierEjector(clock, EJECT_FAILURES, EJECT_FIRST_S, EJECT_MOST_S)

"""Builds the online dispatch policies named in the start settings."""

import random
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.dispatch.admission import Admission, AdmitAll, InTime
from cactusridge.dispatch.capacity import CapacityEstimates, MeanCapacity
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.placement import AnyReplica, LeastOnline, Placing
from cactusridge.dispatch.retry_after import (
    AfterBurst,
    NextSlot,
    RetryAfterPolicy,
)
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.cell_rules import ByZone, CellRule, OneCell
from cactusridge.routing.outliers import (
    NoEjection,
    OutlierDetector,
    OutlierEjector,
)
from cactusridge.startup.models import DirectPolicy

# A replica whose connection broke or that stopped responding is ejected
# for EJECT_FIRST_S seconds, and twice as long after each further failure,
# up to EJECT_MOST_S. The list of replicas may still contain a stopped
# replica for several seconds, while a replica with one broken connection
# is usually usable again soon. A status of 500 may be caused by the request
# itself, so it takes EJECT_FAILURES of them in a row.
EJECT_FAILURES = 2
EJECT_FIRST_S = 0.4
EJECT_MOST_S = 4.0

PLACINGS = MappingProxyType({'least_online': LeastOnline, 'any': AnyReplica})
ADMISSIONS = MappingProxyType({'in_time': InTime, 'everybody': AdmitAll})

CELL_RULES = MappingProxyType({'by_zone': ByZone, 'one': OneCell})


class DispatchPolicies(NamedTuple):
    """The policies for online requests.

    ``placing`` chooses the replica, ``admission`` refuses requests, and
    ``returns`` computes the retry delay of refused callers.
    """

    placing: Placing
    admission: Admission
    returns: RetryAfterPolicy


def make_policies(names: DirectPolicy) -> DispatchPolicies:
    """Return the online dispatch policies selected in ``names``."""
    returns: RetryAfterPolicy = AfterBurst(random.Random())  # noqa: S311
    if names.returns == 'next_slot':
        returns = NextSlot()
    return DispatchPolicies(
        PLACINGS[names.placing](),
        ADMISSIONS[names.admission](),
        returns,
    )


def make_cell_rule(names: DirectPolicy) -> CellRule:
    """Return the rule selected in ``names`` that divides fleets into cells."""
    return CELL_RULES[names.cells]()


def make_capacity(
    names: DirectPolicy, fleet: FleetView, clock: Clock
) -> CapacityEstimates:
    """Return the estimates of capacity selected in ``names``."""
    if names.capacity == 'mean':
        return MeanCapacity()
    return ObservedCapacity(fleet, clock)


def make_outliers(names: DirectPolicy, clock: Clock) -> OutlierDetector:
    """Return the outlier detector selected in ``names``."""
    if names.outliers == 'trust':
        return NoEjection()
    return OutlierEjector(clock, EJECT_FAILURES, EJECT_FIRST_S, EJECT_MOST_S)

"""Builds the dispatch policies named in the start settings."""

import random
from collections.abc import Callable
from types import MappingProxyType

from cactusridge.clock import Clock
from cactusridge.routing.outliers import (
    NoEjection,
    OutlierDetector,
    OutlierEjector,
)
from cactusridge.routing.pickers import (
    LeastOfFewPicker,
    PrefixPicker,
    ReplicaPicker,
    RoundRobinPicker,
)
from cactusridge.routing.retry_budget import (
    RetryBudget,
    RetryPolicy,
    RetryThrice,
)
from cactusridge.startup.models import EntryPolicy

PICKERS = MappingProxyType(
    {
        'prefix': PrefixPicker,
        'least_of_few': LeastOfFewPicker,
        'round_robin': lambda _: RoundRobinPicker(),
    },
)


def make_picker(policy: EntryPolicy, rng: random.Random) -> ReplicaPicker:
    """Return the replica picker selected in ``policy``."""
    make: Callable[[random.Random], ReplicaPicker] = PICKERS[policy.picker]
    return make(rng)


def make_outliers(policy: EntryPolicy, clock: Clock) -> OutlierDetector:
    """Return the outlier detector selected in ``policy``."""
    if policy.outliers == 'trust':
        return NoEjection()
    return OutlierEjector(clock)


def make_retries(policy: EntryPolicy, share: float) -> RetryPolicy:
    """Return a retry policy for one service.

    ``share`` is the number of retries allowed per request on average.
    """
    if policy.retries == 'thrice':
        return RetryThrice()
    return RetryBudget(share)

"""The limiters by the names that start settings have for them."""

from types import MappingProxyType

from cactusridge.organisations.home_limits import HomeLimits
from cactusridge.organisations.limiter import FixedShares, NoLimits

LIMITERS = MappingProxyType(
    {'homes': HomeLimits, 'shares': FixedShares, 'none': NoLimits},
)

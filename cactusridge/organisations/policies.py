"""Limiter classes by their names in the start settings."""

from types import MappingProxyType

from cactusridge.organisations.home_limits import HomeLimits
from cactusridge.organisations.limiter import FixedShares, NoLimits

LIMITERS = MappingProxyType(
    {'homes': HomeLimits, 'shares': FixedShares, 'none': NoLimits},
)

"""Limiter classes by their names in the start settings."""

from types import MappingProxyType

from cactusridge.organisations.home_limits import OwnerLimiter
from cactusridge.organisations.limiter import FixedShares, NoLimits

LIMITERS = MappingProxyType(
    {'homes': OwnerLimiter, 'shares': FixedShares, 'none': NoLimits},
)

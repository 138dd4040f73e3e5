"""Limiter classes by their names in the start settings."""

from types import MappingProxyType

from cactusridge.organisations.limiter import FixedShares, NoLimits
from cactusridge.organisations.owner_limiter import OwnerLimiter

LIMITERS = MappingProxyType(
    {'homes': OwnerLimiter, 'shares': FixedShares, 'none': NoLimits},
)

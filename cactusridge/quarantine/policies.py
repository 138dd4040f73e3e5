"""The rules of quarantine by the names that start settings have for them."""

from types import MappingProxyType

from cactusridge.quarantine.rules import ByCrashes, HoldNothing

RULES = MappingProxyType({'by_crashes': ByCrashes, 'none': HoldNothing})

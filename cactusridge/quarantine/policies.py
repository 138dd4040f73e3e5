"""The quarantine rules by their names in the start settings."""

from types import MappingProxyType

from cactusridge.quarantine.rules import ByCrashes, NoQuarantine

RULES = MappingProxyType({'by_crashes': ByCrashes, 'none': NoQuarantine})

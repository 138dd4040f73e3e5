"""Corrupt entries of the replica list, as a faulty writer may leave them."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from cactusridge import wire

Entry = dict[str, Any]
Spoil = Callable[[Entry], bytes]


def _replacing(name: str, replacement: Any) -> Spoil:
    """Return a function that replaces the value of a field."""
    return lambda entry: wire.encode({**entry, name: replacement})


def _removing(name: str) -> Spoil:
    """Return a function that removes a field."""

    def spoil(entry: Entry) -> bytes:  # noqa: WPS430
        return wire.encode(
            {
                field: old_value
                for field, old_value in entry.items()
                if field != name
            },
        )

    return spoil


# Functions that corrupt an entry, by the kind of damage. No entry that they
# return names a replica that may be used.
CORRUPTIONS: Mapping[str, Spoil] = MappingProxyType(
    {
        'no address': _removing('address'),
        'no service': _removing('service'),
        'no zone': _removing('zone'),
        'no slots': _removing('slots'),
        'no state': _removing('state'),
        'no born': _removing('born'),
        'address a number': _replacing('address', 8080),
        'address a name': _replacing('address', 'localhost:80'),
        'address without a port': _replacing('address', '127.0.0.1'),
        'port too large': _replacing('address', '127.0.0.1:99999'),
        'port 0': _replacing('address', '127.0.0.1:0'),
        'service a number': _replacing('service', 7),
        'service a list': _replacing('service', ['model']),
        'service not named': _replacing('service', 'nobody'),
        'zone null': _replacing('zone', None),
        'slots a string': _replacing('slots', '8'),
        'slots null': _replacing('slots', None),
        'slots negative': _replacing('slots', -1),
        'slots true': _replacing('slots', True),
        'state not named': _replacing('state', 'resting'),
        'state a number': _replacing('state', 1),
        'born a string': _replacing('born', '1764720000000'),
        'born a fraction': _replacing('born', 1764720000000.5),
        'born true': _replacing('born', True),
        'born negative': _replacing('born', -1),
        'a list': lambda entry: wire.encode([entry]),
        'a string': lambda entry: wire.encode('ready'),
        'null': lambda entry: b'null',
        'half of it': lambda entry: wire.encode(entry)[:40],
        'no text': lambda entry: b'\xff\xfe\x00',
        'nothing': lambda entry: b'',
    },
)

"""Entries of the list of replicas as another writer may leave them."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from cactusridge import wire

Entry = dict[str, Any]
Spoil = Callable[[Entry], bytes]


def _with(name: str, found: Any) -> Spoil:
    """Return what puts ``found`` in the place of a field."""
    return lambda entry: wire.encode({**entry, name: found})


def _without(name: str) -> Spoil:
    """Return what leaves a field out."""

    def spoil(entry: Entry) -> bytes:  # noqa: WPS430
        return wire.encode(
            {field: held for field, held in entry.items() if field != name},
        )

    return spoil


# By what is wrong with the entry. No entry made so names a replica to use.
SPOILED: Mapping[str, Spoil] = MappingProxyType(
    {
        'no address': _without('address'),
        'no service': _without('service'),
        'no zone': _without('zone'),
        'no slots': _without('slots'),
        'no state': _without('state'),
        'no born': _without('born'),
        'address a number': _with('address', 8080),
        'address a name': _with('address', 'localhost:80'),
        'address without a port': _with('address', '127.0.0.1'),
        'port too large': _with('address', '127.0.0.1:99999'),
        'port 0': _with('address', '127.0.0.1:0'),
        'service a number': _with('service', 7),
        'service a list': _with('service', ['model']),
        'service not named': _with('service', 'nobody'),
        'zone null': _with('zone', None),
        'slots a string': _with('slots', '8'),
        'slots null': _with('slots', None),
        'slots negative': _with('slots', -1),
        'slots true': _with('slots', True),
        'state not named': _with('state', 'resting'),
        'state a number': _with('state', 1),
        'born a string': _with('born', '1764720000000'),
        'born a fraction': _with('born', 1764720000000.5),
        'born true': _with('born', True),
        'born negative': _with('born', -1),
        'a list': lambda entry: wire.encode([entry]),
        'a string': lambda entry: wire.encode('ready'),
        'null': lambda entry: b'null',
        'half of it': lambda entry: wire.encode(entry)[:40],
        'no text': lambda entry: b'\xff\xfe\x00',
        'nothing': lambda entry: b'',
    },
)

"""One entry of the platform's list of replicas, checked field by field.

Guards against entries of another writer: what cannot be read as a whole
names no replica. Reading one takes some microseconds, so that thousands
can be read at a time.
"""

import re
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta

from cactusridge.errors import CactusridgeError
from cactusridge.fleet.replica import NOT_TOLD, Replica, ReplicaState
from cactusridge.http.client import Address, parse_address

# Bytes of a text, as the platform's store bounds those of a key.
MAX_TEXT_BYTES = 200
# An id stands in a header as it is: visible ASCII only.
SENDABLE_ID = re.compile(rf'[!-~]{{1,{MAX_TEXT_BYTES}}}')
# Requests that a replica works on at once: far more than an engine has,
# few enough that no sum over a fleet is beyond reason.
MAX_SLOTS = 4096
# Unix milliseconds of the year 2100.
MAX_BORN_MS = 4_102_444_800_000
MAX_PORT = 65_535
OCTET: Final = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
# Below 1 an address is of no host, from 224 on of many or of none.
HOST_OCTET: Final = '(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)'
ADDRESS = re.compile(rf'{HOST_OCTET}(?:\.{OCTET}){{3}}:[1-9][0-9]{{0,4}}')
# Characters of an error's cause that are logged.
SHOWN = 200


class UnreadableEntry(CactusridgeError):
    """An entry of the list of replicas names none to use."""

    status = 422
    code = 'unreadable_entry'


Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_BYTES)]


class ReplicaEntry(msgspec.Struct):
    """The fields of an entry that are read; others may be there."""

    service: Name
    address: str
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: ReplicaState
    born: Annotated[int, Meta(ge=NOT_TOLD, le=MAX_BORN_MS)] = NOT_TOLD


def read_entry(replica_id: str, raw: Any) -> Replica:
    """Return the replica that ``raw`` names; raise UnreadableEntry."""
    if SENDABLE_ID.fullmatch(replica_id) is None:
        raise UnreadableEntry('an id that cannot be sent')
    try:
        entry = msgspec.convert(raw, ReplicaEntry)
    except msgspec.ValidationError as exc:
        raise UnreadableEntry(str(exc)[:SHOWN]) from exc
    for name in (entry.service, entry.zone):
        if len(name.encode()) > MAX_TEXT_BYTES:
            raise UnreadableEntry(f'a text over {MAX_TEXT_BYTES} bytes')
    return Replica(
        id=replica_id,
        service=entry.service,
        address=_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        state=entry.state,
        born=entry.born,
    )


def _address(text: str) -> Address:
    """Return the address of one host; raise UnreadableEntry for others."""
    if ADDRESS.fullmatch(text) is None:
        raise UnreadableEntry('address: not an IPv4 address and a port')
    address = parse_address(text)
    if address.port > MAX_PORT:
        raise UnreadableEntry(f'address: port over {MAX_PORT}')
    return address

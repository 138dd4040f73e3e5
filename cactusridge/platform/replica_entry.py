"""Validates the entries of the platform's list of replicas.

Other programs write the entries too, so every field is checked: an entry
with one invalid field describes no replica. Validating an entry takes some
microseconds, so that thousands can be read at a time.
"""

import re
from typing import Annotated, Any, Final

import msgspec
from msgspec import Meta

from cactusridge.errors import CactusridgeError
from cactusridge.fleet.replica import UNKNOWN_START, Replica, ReplicaState
from cactusridge.http.client import Address, parse_address

# Longest text in bytes; the platform's store bounds its keys likewise.
MAX_TEXT_BYTES = 200
# An id is sent unchanged in a header, so it must be visible ASCII.
HEADER_SAFE_ID = re.compile(rf'[!-~]{{1,{MAX_TEXT_BYTES}}}')
# Most requests that a replica may run at once: far more than an engine runs,
# and few enough to keep sums over a fleet plausible.
MAX_SLOTS = 4096
# Latest start time of a replica: Unix milliseconds of the year 2100.
MAX_STARTED_AT_MS = 4_102_444_800_000
MAX_PORT = 65_535
OCTET: Final = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
# First octet of a host's address: below 1 it denotes no host, and from 224 on
# it is multicast or reserved.
HOST_OCTET: Final = '(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)'
ADDRESS = re.compile(rf'{HOST_OCTET}(?:\.{OCTET}){{3}}:[1-9][0-9]{{0,4}}')
# Characters of a validation error that are kept.
MAX_ERROR_CHARS = 200


class UnreadableEntry(CactusridgeError):
    """An entry of the list of replicas describes no usable replica."""

    status = 422
    code = 'unreadable_entry'


Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_BYTES)]
Version = Annotated[str, Meta(max_length=MAX_TEXT_BYTES)]


class ReplicaEntry(msgspec.Struct):
    """The fields of an entry that are read; others are ignored."""

    service: Name
    address: str
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: ReplicaState
    born: Annotated[int, Meta(ge=UNKNOWN_START, le=MAX_STARTED_AT_MS)] = (
        UNKNOWN_START
    )
    version: Version = ''


def read_entry(replica_id: str, raw: Any) -> Replica:
    """Return the replica that ``raw`` describes; raise UnreadableEntry."""
    if HEADER_SAFE_ID.fullmatch(replica_id) is None:
        raise UnreadableEntry('the id cannot be sent in a header')
    try:
        entry = msgspec.convert(raw, ReplicaEntry)
    except msgspec.ValidationError as exc:
        raise UnreadableEntry(str(exc)[:MAX_ERROR_CHARS]) from exc
    for name in (entry.service, entry.zone, entry.version):
        if len(name.encode()) > MAX_TEXT_BYTES:
            raise UnreadableEntry(
                f'service, zone or version over {MAX_TEXT_BYTES} bytes'
            )
    return Replica(
        id=replica_id,
        service=entry.service,
        address=_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        state=entry.state,
        started_at_ms=entry.born,
        version=entry.version,
    )


def _address(text: str) -> Address:
    """Parse an IPv4 address and port; raise UnreadableEntry."""
    if ADDRESS.fullmatch(text) is None:
        raise UnreadableEntry('address: not an IPv4 address and a port')
    address = parse_address(text)
    if address.port > MAX_PORT:
        raise UnreadableEntry(f'address: port over {MAX_PORT}')
    return address

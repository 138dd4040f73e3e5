"""One entry of the platform's list of replicas, checked field by field.

Guards against entries of another writer: what cannot be read as a whole
names no replica. Reading one takes some microseconds, so that thousands
can be read at a time.
"""

import re
from ipaddress import IPv4Address
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from cactusridge.dispatch.replica import NOT_TOLD, Replica, ReplicaState
from cactusridge.errors import CactusridgeError
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
ADDRESS = re.compile(r'[0-9.]{7,15}:[1-9][0-9]{0,4}')
MAX_PORT = 65_535
# Addresses below are of no host, those from here on of many or none.
FIRST_OF_HOSTS = IPv4Address('1.0.0.0')
FIRST_OF_GROUPS = IPv4Address('224.0.0.0')
# Characters of an error's cause that are logged.
SHOWN = 200


class UnreadableEntry(CactusridgeError):
    """An entry of the list of replicas names none to use."""

    status = 422
    code = 'unreadable_entry'


def _bounded(text: str) -> str:
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f'over {MAX_TEXT_BYTES} bytes')
    return text


def _address(text: str) -> Address:
    """Return an address of one host; raise ValueError for any other."""
    if ADDRESS.fullmatch(text) is None:
        raise ValueError('no IPv4 address and port')
    address = parse_address(text)
    if address.port > MAX_PORT:
        raise ValueError(f'port over {MAX_PORT}')
    if not FIRST_OF_HOSTS <= IPv4Address(address.host) < FIRST_OF_GROUPS:
        raise ValueError('not the address of one host')
    return address


Name = Annotated[str, Field(min_length=1), AfterValidator(_bounded)]


class ReplicaEntry(BaseModel):
    """The fields of an entry that are read; others may be there."""

    model_config = ConfigDict(strict=True, extra='ignore', frozen=True)

    service: Name
    address: Annotated[str, AfterValidator(_address)]
    zone: Name
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    # Strict mode takes no text for a member.
    state: Annotated[ReplicaState, Field(strict=False)]
    born: Annotated[int, Field(ge=NOT_TOLD, le=MAX_BORN_MS)] = NOT_TOLD


def read_entry(replica_id: str, raw: Any) -> Replica:
    """Return the replica that ``raw`` names; raise UnreadableEntry."""
    if SENDABLE_ID.fullmatch(replica_id) is None:
        raise UnreadableEntry('an id that cannot be sent')
    try:
        entry = ReplicaEntry.model_validate(raw)
    except ValidationError as exc:
        raise UnreadableEntry(_causes(exc)) from exc
    return Replica(id=replica_id, **dict(entry))


def _causes(exc: ValidationError) -> str:
    """Return which fields are wrong and why, without what they hold."""
    found = [
        f'{".".join(map(str, each["loc"]))}: {each["msg"]}'
        for each in exc.errors(include_url=False, include_input=False)
    ]
    return '; '.join(found)[:SHOWN]

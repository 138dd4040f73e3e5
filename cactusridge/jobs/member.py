"""An entry as described in the membership list."""

from typing import NamedTuple

from cactusridge.store.fields import Fields
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField

MEMBER_PREFIX = 'members//'
MAX_PORT = 65_535


class Member(NamedTuple):
    """An entry as described in its row of the membership list.

    ``life`` is the incarnation of its process. Peers connect to ``host``
    and ``port``. ``since_ms`` is the time by the store's clock since which
    the entry has been a member without interruption, in milliseconds; it
    is 0 if the row does not have it.
    """

    name: str
    life: str
    host: str
    port: int
    zone: str
    since_ms: int = 0


def parse_member(row: Row) -> Member:
    """Return the member in a row; raises UnreadableField."""
    fields = Fields(row.value)
    member = Member(
        fields.text('name'),
        fields.text('life'),
        fields.text('host'),
        fields.integer('port'),
        fields.text('zone'),
        fields.integer('since_ms', 0),
    )
    if member.name != row.key.removeprefix(MEMBER_PREFIX):
        raise UnreadableField(f'the row names the entry {member.name}')
    if not 0 < member.port <= MAX_PORT:
        raise UnreadableField(f'port {member.port} is out of range')
    return member

"""Which life of a replica is its newest, also after its entry has gone."""

from collections import OrderedDict

from cactusridge.errors import CactusridgeError
from cactusridge.fleet.life_rule import names_replica
from cactusridge.fleet.replica import NOT_TOLD

# Replicas without an entry whose newest life is remembered. The lists of
# the largest deployments have some tens of replicas; a list that is read
# late is at most one replacement of all of them behind.
MAX_GONE = 4096


class LifeOver(CactusridgeError):
    """A newer life of the replica is known."""

    status = 409
    code = 'life_over'


class LifeNotTold(CactusridgeError):
    """The entry does not tell its life, unlike others under its id."""

    status = 422
    code = 'life_not_told'


class LifeOrder:
    """Remembers the start of the newest life by id.

    Guards against entries of a former life that are read late: a start
    that is older than the newest one never counts.
    """

    def __init__(self) -> None:
        """Know no life."""
        self._listed: dict[str, int] = {}
        self._gone: OrderedDict[str, int] = OrderedDict()

    def newest(self, replica_id: str) -> int | None:
        """Return the start of the newest life, None for an unknown id."""
        return self._listed.get(replica_id, self._gone.get(replica_id))

    def take(self, replica_id: str, born: int) -> int | None:
        """Note a life that is listed; return the start of one it ends.

        Raises LifeOver or LifeNotTold for one that is not the newest.
        """
        newest = self.newest(replica_id)
        if not names_replica(born, newest or NOT_TOLD, told=False):
            raise LifeNotTold(f'{replica_id} told {newest} before')
        if newest is not None and born < newest:
            raise LifeOver(f'{replica_id} began {born}, again {newest}')
        self._gone.pop(replica_id, None)
        self._listed[replica_id] = born
        return None if newest == born else newest

    def gone(self, replica_id: str) -> None:
        """Note that a replica has no entry now."""
        born = self._listed.pop(replica_id, None)
        if born is None:
            return
        self._gone[replica_id] = born
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

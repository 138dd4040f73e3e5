"""Policies that select a replica, including naive ones for comparison."""

import abc
import itertools
import random
from collections.abc import Sequence

import xxhash

from cactusridge.hashing import hash64
from cactusridge.routing.candidates import Candidate, PickRequest, load_of

AFFINITY_REQUESTS = 1
SAMPLE_SIZE = 4


class ReplicaPicker(abc.ABC):
    """Selects one of the candidates."""

    @abc.abstractmethod
    def pick(
        self,
        candidates: Sequence[Candidate],
        request: PickRequest,
    ) -> Candidate:
        """Return the replica for ``request``; ``candidates`` is not empty."""


class RoundRobinPicker(ReplicaPicker):
    """Naive policy: selects replicas in turn, whatever their load."""

    def __init__(self) -> None:
        """Start with the first candidate."""
        self._turn = itertools.count()

    def pick(
        self,
        candidates: Sequence[Candidate],
        request: PickRequest,
    ) -> Candidate:
        """Return the next candidate in turn."""
        return candidates[next(self._turn) % len(candidates)]


class LeastOfFewPicker(ReplicaPicker):
    """Selects the least loaded of a few candidates drawn at random.

    The candidates are those in the zone of the entry, unless a candidate in
    another zone has a lower load than all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw candidates with ``rng``."""
        self._rng = rng

    def pick(
        self,
        candidates: Sequence[Candidate],
        request: PickRequest,
    ) -> Candidate:
        """Return the least loaded of the candidates drawn."""
        return self._least_loaded(self._prefer_zone(candidates, request.zone))

    def _prefer_zone(
        self,
        candidates: Sequence[Candidate],
        zone: str,
    ) -> Sequence[Candidate]:
        same_zone = [each for each in candidates if each.zone == zone]
        other_zones = [each for each in candidates if each.zone != zone]
        if not same_zone or not other_zones:
            return candidates
        least_in_zone = min(map(load_of, same_zone))
        least_elsewhere = min(map(load_of, other_zones))
        return same_zone if least_in_zone <= least_elsewhere else candidates

    def _least_loaded(self, candidates: Sequence[Candidate]) -> Candidate:
        drawn = self._rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
        return min(drawn, key=load_of)


class PrefixPicker(LeastOfFewPicker):
    """Sends prompts with the same prefix to one replica while it has room.

    Rendezvous hashing ranks the replicas for a prefix. The first replica in
    the ranking whose load is at most AFFINITY_REQUESTS requests above the
    lowest load is selected, so that a frequent prefix spreads over as many
    replicas as it needs. The picker does not query which prefixes a replica
    has cached: a wrong guess costs one prefill.
    """

    def pick(
        self,
        candidates: Sequence[Candidate],
        request: PickRequest,
    ) -> Candidate:
        """Return the highest ranked replica that is not overloaded."""
        if not request.prefix:
            return super().pick(candidates, request)
        loads = {each.key: load_of(each) for each in candidates}
        least = min(candidates, key=load_of)
        bound = loads[least.key] + AFFINITY_REQUESTS / max(1, least.limit)
        ranked = sorted(
            candidates,
            key=lambda each: _prefix_rank(request.prefix, each.key),
        )
        all_full = loads[least.key] >= 1
        for candidate in ranked:
            load = loads[candidate.key]
            # A replica without a free slot would make the request wait
            # although another replica has one.
            if load <= bound and (load < 1 or all_full):
                return candidate
        return super().pick(candidates, request)


def _prefix_rank(prefix: bytes, key: str) -> int:
    return hash64(key, xxhash.xxh64_intdigest(prefix))

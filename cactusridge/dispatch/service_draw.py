"""Draws the service of a request by the weights of its route."""

import random

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.retries import NO_REPLICA_RETRY_S
from cactusridge.errors import NoReplica


def draw_service(route: Route, rng: random.Random) -> str:
    """Return one of the route's services, drawn by their weights.

    Raises NoReplica if none has a weight.
    """
    shares = [share for share in route.shares if share.weight]
    if not shares:
        raise NoReplica(
            f'the route {route.name} sends requests to no service',
            retry_after_s=NO_REPLICA_RETRY_S,
        )
    weights = [share.weight for share in shares]
    return rng.choices(shares, weights)[0].service

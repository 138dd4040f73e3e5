"""Calls that wait at an entry, for tests of the admission queue."""

import itertools

from cactusridge.dispatch.caller import AlwaysConnectedCaller
from cactusridge.dispatch.catalog import (
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    ServiceShare,
)
from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.dispatch.wait_too_long import WaitEstimate, WaitTooLong
from cactusridge.organisations.directory import Directory, KeyOwner
from cactusridge.organisations.organisation import Organisation
from cactusridge.organisations.permit import OPEN_PERMIT
from cactusridge.queueing.pace import Pace
from cactusridge.queueing.turns import Turn
from cactusridge.queueing.waiting_request import WaitingRequest
from tests.cells_play import SERVICE, SLOTS

HOLD_S = 0.75
TIMEOUT_S = 5
ROUTE = Route(
    name='r',
    host='h',
    prefix='/',
    kind=RouteKind.streaming,
    shares=(ServiceShare(SERVICE, 1),),
    timeout_s=TIMEOUT_S,
    target_latency_s=0.3,
    attempts=1,
    priority=1,
    resumable=False,
)
FIRST = Organisation('first', priority=0)
CATALOG = Catalog(
    1,
    (ROUTE,),
    CallerLimits(),
    Directory([KeyOwner(FIRST, ()), KeyOwner(Organisation('press'), ())]),
)
ESTIMATE = WaitEstimate('i-0', 3, SLOTS, HOLD_S, 0.28, 0)

_numbers = itertools.count()


def refusal(service=SERVICE):
    """Return the error for a request whose expected wait is too long."""
    return WaitTooLong(ESTIMATE, 0.5, service)


def call_of(organisation, deadline_at, permit=OPEN_PERMIT, body=b''):
    """Return a call of an organisation."""
    req = UpstreamRequest(
        f'q{next(_numbers)}',
        'POST',
        '/',
        [],
        body,
        'print',
        organisation=organisation,
    )
    caller = AlwaysConnectedCaller()
    return OnlineCall(req, ROUTE, 0, deadline_at, caller, permit)


def waiting(organisation, deadline_at=3, body=b'', service=SERVICE):
    """Return a waiting request of an organisation."""
    return WaitingRequest(
        call_of(organisation, deadline_at, body=body),
        service,
        Turn(1, organisation, deadline_at),
        Pace(0.1, HOLD_S),
        since=0,
    )

"""The WSGI application that serves the requests of callers."""

from collections.abc import Callable, Generator, Iterable, Iterator
from http import HTTPStatus
from typing import Any, NoReturn, TypedDict

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route, RouteKind
from cactusridge.dispatch.online import OnlineDispatcher
from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import (
    CactusridgeError,
    Draining,
    NotFound,
    TooLarge,
)
from cactusridge.http.exchange import REQUEST_KEY, SOCKET_KEY, Reply
from cactusridge.platform import names
from cactusridge.platform.caller_request import CallerRequest
from cactusridge.platform.caller_resolver import CATALOG_STALE_S, CallerResolver
from cactusridge.platform.caller_watch import SocketWatch
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.platform.errors import failure_reply
from cactusridge.platform.job_calls import JobCalls
from cactusridge.platform.prefetched_stream import PrefetchedStream
from cactusridge.platform.prompt_parts import shared_parts
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.table_follower import TableFollower

# Retry-After, in seconds, of a process without a configuration or the list of
# replicas. A process reads both within this time of its start unless the store
# is unreachable.
UNCONFIGURED_RETRY_S = 0.3
CLOSE = ('Connection', 'close')


class NotConfigured(Draining):
    """This process has not loaded a configuration or the replicas yet."""

    code = 'not_configured'


# Retry-After, in seconds, when the configuration in use may be stale.
STALE_RETRY_S = 0.3


class RouteUnsure(Draining):
    """No route matches, but the configuration in use may be out of date."""

    code = 'route_unsure'


class Resumption(TypedDict):
    """The fields of an UpstreamRequest about the stream that it resumes."""

    resume_after: str | None
    resumes: str


class CallerApp:
    """Routes the requests of callers by the configuration in force."""

    def __init__(
        self,
        holder: CatalogHolder,
        follower: TableFollower,
        can_serve: Callable[[], bool],
        online: OnlineDispatcher,
        jobs: JobCalls,
        callers: CallerResolver,
        clock: Clock,
    ) -> None:
        """Identify callers with ``callers``; serve with ``online`` or ``jobs``.

        ``follower`` keeps the configuration in ``holder`` up to date, and
        ``can_serve`` returns whether the replicas are known as well.
        """
        self._callers = callers
        self._holder = holder
        self._follower = follower
        self._can_serve = can_serve
        self._online = online
        self._jobs = jobs
        self._clock = clock

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request; this is the WSGI entry point."""
        arrived_at = self._clock.monotonic()
        try:
            reply = self._answer(environ, arrived_at)
        except CactusridgeError as exc:
            reply = self._refusal(exc)
        except Exception as exc:
            logs.emit(events.INTERNAL_ERROR, error=repr(exc))
            reply = failure_reply(CactusridgeError(repr(exc)))
        if reply.status < HTTPStatus.BAD_REQUEST:
            TRACE.mark(StartStep.answer)
        start_response(_status_line(reply.status), reply.headers)
        return reply.body

    def _answer(self, environ: dict[str, Any], arrived_at: float) -> Reply:
        catalog = self._holder.catalog
        call = CallerRequest(environ, catalog.limits)
        if not self._holder.known:
            raise NotConfigured(retry_after_s=UNCONFIGURED_RETRY_S)
        if self._jobs.handles(call):
            self._check_owner(call)
            return self._jobs.answer(call)
        route = catalog.match(call.host, call.path)
        if route is None:
            self._raise_no_route(call)
        if route.kind == RouteKind.batch:
            owner = (
                '' if route.public else self._callers.organisation_name(call)
            )
            return self._jobs.submit(call, route, catalog, owner)
        return self._serve(environ, call, route, arrived_at)

    def _check_owner(self, call: CallerRequest) -> None:
        """Raise NotFound if a job belongs to another organisation.

        A job without an organisation is open to every caller, and so is
        every job while no organisations are configured.
        """
        if self._holder.catalog.organisations is None:
            return
        owner = self._jobs.owner(call)
        if owner and owner != self._callers.organisation_name(call):
            raise NotFound(f'nothing at {call.path}')

    def _raise_no_route(self, call: CallerRequest) -> NoReturn:
        text = f'no route for {call.host}{call.path}'
        if self._follower.seconds_since_answer() > CATALOG_STALE_S:
            raise RouteUnsure(text, retry_after_s=STALE_RETRY_S)
        raise NotFound(text)

    def _serve(
        self,
        environ: dict[str, Any],
        call: CallerRequest,
        route: Route,
        arrived_at: float,
    ) -> Reply:
        if not self._can_serve():
            raise NotConfigured(retry_after_s=UNCONFIGURED_RETRY_S)
        caller = self._callers.resolve(call, route)
        left_s = min(call.time_left_s(route.timeout_s), route.timeout_s)
        body = call.body()
        watch = SocketWatch(environ[SOCKET_KEY])
        environ[REQUEST_KEY] = call.id
        req = UpstreamRequest(
            call.id,
            call.method,
            call.target,
            caller.headers,
            body,
            call.fingerprint(caller.name, body),
            organisation=caller.name,
            parts=shared_parts(caller.headers),
            **_resumption(call, route),
        )
        online_call = OnlineCall(
            req,
            route,
            arrived_at,
            arrived_at + left_s,
            watch,
            caller.permit,
        )
        try:
            answer = self._online.answer(online_call)
        except BaseException:
            watch.stop()
            raise
        if isinstance(answer.body, list):
            watch.stop()
            return Reply(answer.status, answer.headers, answer.body)
        body_parts = PrefetchedStream(self._watched(answer.body, watch))
        return Reply(answer.status, answer.headers, body_parts)

    def _watched(
        self,
        parts: Iterator[bytes],
        watch: SocketWatch,
    ) -> Generator[bytes, None, None]:
        """Yield the parts of a stream, then stop watching the caller."""
        try:
            yield from parts
        finally:
            watch.stop()

    def _refusal(self, exc: CactusridgeError) -> Reply:
        metrics.REFUSALS.inc({'code': exc.code})
        reply = failure_reply(exc)
        malformed = reply.status == HTTPStatus.BAD_REQUEST
        if malformed or isinstance(exc, TooLarge):
            # The connection is closed because the unread rest of the body
            # could be mistaken for the next request.
            reply.headers.append(CLOSE)
        return reply


def _resumption(call: CallerRequest, route: Route) -> Resumption:
    """Return which stream a request resumes, and after which event."""
    last_id = call.header(names.LAST_EVENT_ID)
    if route.kind != RouteKind.streaming or not last_id:
        return Resumption(resume_after=None, resumes='')
    return Resumption(resume_after=last_id, resumes=call.header(names.RESUMES))


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'

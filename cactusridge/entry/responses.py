"""Starts, times and returns responses to online requests."""

from typing import NamedTuple

from cactusridge import metrics
from cactusridge.errors import CactusridgeError, CallerDisconnected
from cactusridge.http.exchange import Headers, Reply, Req
from cactusridge.sidecar_dispatch.attempt import Attempt
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.slo.sample import ResponseTimer

STRIPPED_HEADERS = frozenset(('content-length', 'connection', 'date'))


class StartedResponse(NamedTuple):
    """A response that has started, and the timer that records it."""

    attempt: Attempt
    timer: ResponseTimer

    def as_reply(self) -> Reply:
        """Read the whole response and return it as a reply with one body."""
        body = self.attempt.read_body()
        self.timer.record_complete(self.attempt.status)
        headers = response_headers(self.attempt)
        headers.append(('Content-Length', str(len(body))))
        return Reply(self.attempt.status, headers, [body])


def open_response(
    parts: EntryComponents, req: Req, dispatch: Dispatch
) -> StartedResponse:
    """Dispatch the request; return its response once it has started.

    Raises the error with which the request was refused or failed. Raises
    CallerDisconnected if the caller disconnects before the response starts.
    """
    timer = ResponseTimer(parts.recorder, dispatch.service, parts.clock)

    def watch_caller() -> None:  # noqa: WPS430
        if req.caller_disconnected():
            raise CallerDisconnected

    try:
        attempt = parts.dispatcher.open(dispatch, watch_caller)
    except CactusridgeError as exc:
        timer.record_error(exc)
        metrics.REFUSALS.inc({'code': exc.code})
        raise
    return StartedResponse(attempt, timer)


def response_headers(attempt: Attempt) -> Headers:
    """Return the headers of an upstream's response to send to the caller."""
    return [
        (name, text)
        for name, text in attempt.headers
        if name.lower() not in STRIPPED_HEADERS
    ]

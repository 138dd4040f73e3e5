"""What every answer to an online request has in common."""

from typing import NamedTuple

from cactusridge import metrics
from cactusridge.errors import CactusridgeError, CallerGone
from cactusridge.http.exchange import Headers, Reply, Req
from cactusridge.sidecar_dispatch.attempt import Attempt
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.slo.sample import AnswerTimer

HOP_HEADERS = frozenset(('content-length', 'connection', 'date'))


class Answering(NamedTuple):
    """An answer that has begun, and the timer that records it."""

    attempt: Attempt
    timer: AnswerTimer

    def whole(self) -> Reply:
        """Return the answer as one body."""
        body = self.attempt.read_body()
        self.timer.finished(self.attempt.status)
        headers = answer_headers(self.attempt)
        headers.append(('Content-Length', str(len(body))))
        return Reply(self.attempt.status, headers, [body])


def begin_answer(
    parts: EntryComponents, req: Req, dispatch: Dispatch
) -> Answering:
    """Place ``dispatch``; return its answer, or raise the refusal.

    While no answer has begun, a caller that hangs up ends the request.
    """
    timer = AnswerTimer(parts.recorder, dispatch.service, parts.clock)

    def watch_caller() -> None:  # noqa: WPS430
        if req.caller_gone():
            raise CallerGone

    try:
        attempt = parts.dispatcher.open(dispatch, watch_caller)
    except CactusridgeError as exc:
        timer.refused(exc)
        metrics.REFUSALS.inc({'code': exc.code})
        raise
    return Answering(attempt, timer)


def answer_headers(attempt: Attempt) -> Headers:
    """Return the headers of an upstream's answer for the caller."""
    return [
        (name, text)
        for name, text in attempt.headers
        if name.lower() not in HOP_HEADERS
    ]

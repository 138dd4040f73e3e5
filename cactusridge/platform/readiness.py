"""The readiness endpoint, which the platform polls before it sends callers."""

from collections.abc import Callable
from http import HTTPStatus

from cactusridge import events, logs
from cactusridge.errors import CactusridgeError
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.jobs.job_admission import JobAdmission
from cactusridge.start_trace import TRACE, StartStep


class NotReady(CactusridgeError):
    """This process accepts no new connections at present."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    code = 'not_ready'


class Readiness:
    """Reports whether this entry can serve callers."""

    def __init__(
        self,
        can_serve: Callable[[], bool],
        intake: JobAdmission,
    ) -> None:
        """Require that ``can_serve`` returns True.

        ``intake`` decides whether callers have to use other entries.
        """
        self._can_serve = can_serve
        self._intake = intake
        self._draining = False
        self._callers_elsewhere = False

    def begin_drain(self) -> None:
        """Report from now on that the entry is not ready."""
        self._draining = True

    def serve(self, req: Req) -> Reply:
        """Reply to one poll; raise NotReady."""
        if self._draining or not self._can_serve():
            raise NotReady
        elsewhere = self._intake.should_redirect_callers()
        if elsewhere != self._callers_elsewhere:
            self._callers_elsewhere = elsewhere
            logs.emit(events.CALLERS_REDIRECTED, elsewhere=elsewhere)
        if elsewhere:
            raise NotReady
        TRACE.mark(StartStep.ready)
        return json_reply({})

"""The readiness endpoint, which the platform polls before it sends callers."""

from http import HTTPStatus

from cactusridge import events, logs
from cactusridge.errors import CactusridgeError
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.jobs.job_admission import JobAdmission
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.start_trace import TRACE, StartStep


class NotReady(CactusridgeError):
    """This process accepts no new connections at present."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    code = 'not_ready'


class Readiness:
    """Reports whether this entry can serve callers."""

    def __init__(self, holder: CatalogHolder, intake: JobAdmission) -> None:
        """Require a configuration in ``holder``.

        ``intake`` decides whether callers have to use other entries.
        """
        self._holder = holder
        self._intake = intake
        self._draining = False
        self._callers_elsewhere = False

    def begin_drain(self) -> None:
        """Report from now on that the entry is not ready."""
        self._draining = True

    def serve(self, req: Req) -> Reply:
        """Reply to one poll; raise NotReady."""
        if not self._holder.known or self._draining:
            raise NotReady
        elsewhere = self._intake.should_redirect_callers()
        if elsewhere != self._callers_elsewhere:
            self._callers_elsewhere = elsewhere
            logs.emit(events.CALLERS_REDIRECTED, elsewhere=elsewhere)
        if elsewhere:
            raise NotReady
        TRACE.mark(StartStep.ready)
        return json_reply({})

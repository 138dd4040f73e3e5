"""Decides at which replicas a stream may go on."""

from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.dispatch.run import Run
from cactusridge.errors import Refused
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.stream_origin import UNKNOWN_ORIGIN, StreamOrigin
from cactusridge.stream_origins.origin_records import OriginRecords


class CannotResume(Refused):
    """The software version that began the stream is not known here."""

    code = 'cannot_resume'
    default_retry_after_s = 0.3


class Resumption:
    """Keeps streams at the software version that began them.

    The output of two versions does not fit together, and replicas do not
    check it. A stream whose version is not known is not resumed. Services
    with replicas none of which states a version are exempt; one without any
    replica may get such that do.
    """

    def __init__(self, fleet: FleetView, records: OriginRecords) -> None:
        """Look replicas up in ``fleet`` and streams in ``records``."""
        self._fleet = fleet
        self._records = records

    def record_begin(
        self, call: OnlineCall, run: Run, before: StreamOrigin | None
    ) -> StreamOrigin:
        """Record where a stream begins or goes on, before an event goes out.

        Returns its origin, which is ``before`` if it was known already, and
        UNKNOWN_ORIGIN until the process that runs the request is known.
        """
        origin = run.origin()
        if before not in {None, UNKNOWN_ORIGIN}:
            origin = before
        if origin == UNKNOWN_ORIGIN:
            if before is None:
                run.exchange.ask_process()
            return origin
        if call.route.resumable and origin.version:
            stream_id = call.req.resumes or call.req.id
            self._records.publish(stream_id, origin)
        return origin

    def origin_of(self, call: OnlineCall) -> StreamOrigin | None:
        """Return where the stream began that a caller resumes.

        Returns None if the call resumes no stream, or if its services have
        replicas and state no versions. Raises CannotResume.
        """
        if call.req.resume_after is None:
            return None
        services = {each.service for each in call.route.shares if each.weight}
        if self._state_no_versions(services):
            return None
        origin = None
        if call.req.resumes:
            origin = self._records.find(call.req.resumes)
        if origin is None:
            raise CannotResume
        if origin.service not in services:
            raise CannotResume('the route has left the service of the stream')
        return origin

    def _state_no_versions(self, services: set[str]) -> bool:
        if services.isdisjoint(self._fleet.services()):
            return False
        return not any(map(self._fleet.states_versions, services))

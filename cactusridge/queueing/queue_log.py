"""Logs and counts the waits of requests at this entry."""

from cactusridge import events, logs, metrics
from cactusridge.queueing.waiting_request import WaitingRequest


class QueueLog:
    """Writes the log events and metrics of waiting requests."""

    def queued(self, request: WaitingRequest, waiting: int) -> None:
        """Log that a request waits, ``waiting`` of its service with it."""
        self.waiting(request.service, waiting)
        pace = request.pace
        logs.emit(
            events.REQUEST_QUEUED,
            request=request.call.req.id,
            route=request.call.route.name,
            service=request.service,
            organisation=request.turn.organisation,
            priority=request.turn.priority,
            place=request.place,
            waiting=waiting,
            turn_s=round(pace.turn_s, 4),
            slot_s=round(pace.slot_s, 3),
            left_s=round(request.turn.deadline_at - request.since, 3),
        )

    def dequeued(
        self,
        request: WaitingRequest,
        waited_s: float,
        waiting: int,
    ) -> None:
        """Log that a request waits no more, after ``waited_s`` seconds."""
        self.waiting(request.service, waiting)
        outcome = request.outcome.value
        metrics.QUEUE_OUTCOMES.inc({'outcome': outcome})
        metrics.QUEUE_WAITED.observe({'service': request.service}, waited_s)
        logs.emit(
            events.REQUEST_DEQUEUED,
            request=request.call.req.id,
            service=request.service,
            organisation=request.turn.organisation,
            place=request.place,
            waited_s=round(waited_s, 4),
            outcome=outcome,
        )

    def waiting(self, service: str, count: int) -> None:
        """Record how many requests wait for a service."""
        metrics.QUEUE_WAITING.set({'service': service}, count)

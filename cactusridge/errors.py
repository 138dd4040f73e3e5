"""The errors of this project and the JSON body of each.

The docstring of an error class is its default message to clients.
"""

from typing import ClassVar, TypedDict


class ErrorBody(TypedDict):
    """The ``error`` object of every error reply."""

    type: str
    code: str
    message: str
    not_run: bool | None
    retry_after_s: float | None
    param: str | None


class CactusridgeError(Exception):
    """Base class of the errors of this project."""

    status: ClassVar[int] = 500
    kind: ClassVar[str] = 'server_error'
    code: ClassVar[str] = 'internal_error'
    not_run: bool | None = None
    default_retry_after_s: ClassVar[float | None] = None

    def __init__(
        self,
        message: str = '',
        *,
        param: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Create an error; the default message is the class docstring.

        ``param`` is the invalid field of the request, ``retry_after_s`` the
        seconds after which the caller may retry.
        """
        super().__init__(message or self.__class__.__doc__ or self.code)
        self.param = param
        # An explicit wait takes precedence over the default of the class.
        is_set = retry_after_s is not None
        self.retry_after_s = (
            retry_after_s if is_set else self.default_retry_after_s
        )

    def body(self) -> ErrorBody:
        """Return the ``error`` object of the reply."""
        return ErrorBody(
            type=self.kind,
            code=self.code,
            message=str(self),
            not_run=self.not_run,
            retry_after_s=self.retry_after_s,
            param=self.param,
        )


class BadRequest(CactusridgeError):
    """The request is malformed."""

    status = 400
    kind = 'invalid_request_error'
    code = 'bad_request'
    not_run = True


class Unauthorized(BadRequest):
    """The token is missing or unknown."""

    status = 401
    kind = 'authentication_error'
    code = 'invalid_api_key'


class Forbidden(BadRequest):
    """The token does not permit access to this path."""

    status = 403
    kind = 'permission_error'
    code = 'forbidden'


class NotFound(BadRequest):
    """There is nothing at this path."""

    status = 404
    code = 'not_found'


class ModelNotFound(NotFound):
    """The model does not exist or is not available to this team."""

    code = 'model_not_found'


class MethodNotAllowed(BadRequest):
    """The path does not support this method."""

    status = 405
    code = 'method_not_allowed'


class SlowRequest(BadRequest):
    """The caller sent the request too slowly."""

    status = 408
    code = 'request_timeout'


class Conflict(BadRequest):
    """The request conflicts with what is stored."""

    status = 409
    code = 'conflict'


class TooLarge(BadRequest):
    """The request is over a size limit."""

    status = 413
    code = 'too_large'


class IdempotencyMismatch(BadRequest):
    """The idempotency key was used with another body."""

    status = 422
    code = 'idempotency_mismatch'


class Refused(CactusridgeError):
    """The request was not run; it may be sent again later."""

    status = 503
    default_retry_after_s = 1
    kind = 'unavailable'
    code = 'refused'
    not_run = True


class Overloaded(Refused):
    """The service has no room for this request within its deadline."""

    status = 429
    kind = 'rate_limit_error'
    code = 'overloaded'


class Draining(Refused):
    """This process is stopping and takes no new work."""

    code = 'draining'


class NoReplica(Refused):
    """No replica of the service can be reached."""

    code = 'no_replica'


class Quarantined(Refused):
    """Replicas have crashed under this request; it is not run again."""

    code = 'quarantined'


class StaleOrder(Refused):
    """The order carries an old fencing number or incarnation."""

    status = 409
    code = 'stale_order'


class Tombstoned(Refused):
    """The order was abandoned before it arrived."""

    status = 409
    code = 'tombstoned'


class StoreUnavailable(Refused):
    """The platform's store does not answer; nothing was changed."""

    code = 'store_unavailable'


class OutcomeUnknown(CactusridgeError):
    """The work may or may not have run; it is not run again."""

    status = 502
    kind = 'upstream_error'
    code = 'outcome_unknown'


class StopLimit(CactusridgeError):
    """The process stops before the request could be answered."""

    kind = 'unavailable'
    code = 'stop_limit'
    default_retry_after_s = 0

    @property
    def status(self) -> int:
        """503 for a request that has certainly not run, else 502."""
        return Draining.status if self.not_run else OutcomeUnknown.status


class UpstreamFailed(CactusridgeError):
    """The upstream failed after the request had begun."""

    status = 502
    kind = 'upstream_error'
    code = 'upstream_failed'


class UpstreamCrashed(UpstreamFailed):
    """The upstream process ended while it was handling the request."""

    code = 'upstream_crashed'


class DeadlineExceeded(CactusridgeError):
    """The deadline passed after the request had begun."""

    status = 504
    default_retry_after_s = 1
    kind = 'timeout_error'
    code = 'deadline_exceeded'


class TruncatedReply(UpstreamFailed):
    """A reply ended before it was complete."""

    code = 'truncated_reply'


class CrossedReply(UpstreamFailed):
    """A reply carried the id of another request."""

    code = 'crossed_reply'


class CallerDisconnected(CactusridgeError):
    """The caller closed its connection."""

    status = 499
    code = 'caller_gone'

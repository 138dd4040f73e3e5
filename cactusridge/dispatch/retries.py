"""Decides whether a call is retried after a failed attempt."""

from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import NotRun
from cactusridge.dispatch.upstream import ConnectFailed
from cactusridge.errors import (
    CactusridgeError,
    CallerDisconnected,
    DeadlineExceeded,
    NoReplica,
    Overloaded,
    StopLimit,
)

# Number of rejections by replicas after which the caller gets an error.
# It leaves one attempt beyond a replica that has just become full and
# another that has just shut down.
MAX_REJECTIONS = 4
# Retry delay in seconds that callers receive when no replica is ready. By
# the time of the retry the list of replicas has been read again.
NO_REPLICA_RETRY_S = 0.3


def may_retry(call: OnlineCall, progress: Progress) -> bool:
    """Return whether a request that may have run may be sent again."""
    if not call.route.repeatable:
        return False
    return progress.may_have_run < call.route.attempts


def check_retry(
    call: OnlineCall,
    progress: Progress,
    exc: CactusridgeError,
) -> None:
    """Return if the call may be retried at another replica, else raise.

    Raises CallerDisconnected if the caller has disconnected, Overloaded after
    too many rejections, and ``exc`` otherwise.
    """
    if call.caller.disconnected:
        raise CallerDisconnected from exc
    if isinstance(exc, NotRun | ConnectFailed):
        progress.rejections += 1
        if progress.rejections >= MAX_REJECTIONS:
            raise Overloaded(retry_after_s=NO_REPLICA_RETRY_S) from exc
        return
    if isinstance(exc, Overloaded | NoReplica | DeadlineExceeded | StopLimit):
        raise exc
    if not may_retry(call, progress):
        raise exc

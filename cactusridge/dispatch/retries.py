"""Whether a call whose attempt failed may go to another replica."""

from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import NotRun
from cactusridge.dispatch.upstream import ConnectFailed
from cactusridge.errors import (
    CactusridgeError,
    CallerGone,
    DeadlineExceeded,
    NoReplica,
    Overloaded,
)

# Replicas that may turn a request away before its caller is told: one
# more than a replica just full and another that has just left.
MAX_TURNED_AWAY = 4
# A wait for a replica to appear, in seconds; a caller that comes back
# then finds the list of replicas read once more.
NO_REPLICA_RETRY_S = 0.3


def may_go_again(call: OnlineCall, progress: Progress) -> bool:
    """Tell whether a request that may have run may be sent again."""
    if not call.route.repeatable:
        return False
    return progress.may_have_run < call.route.attempts


def check_retry(
    call: OnlineCall,
    progress: Progress,
    exc: CactusridgeError,
) -> None:
    """Return if the call may go to another replica, else raise."""
    if call.caller.gone:
        raise CallerGone from exc
    if isinstance(exc, NotRun | ConnectFailed):
        progress.turned_away += 1
        if progress.turned_away >= MAX_TURNED_AWAY:
            raise Overloaded(retry_after_s=NO_REPLICA_RETRY_S) from exc
        return
    if isinstance(exc, Overloaded | NoReplica | DeadlineExceeded):
        raise exc
    if not may_go_again(call, progress):
        raise exc

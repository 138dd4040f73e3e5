"""Work that goes on beside the requests for as long as the process."""

from collections.abc import Callable

import gevent

from cactusridge import events, logs

FAILURE_PAUSE_S = 1


def always() -> bool:
    """Tell that there is something to do."""
    return True


def keep_doing(
    step: Callable[[], object],
    wanted: Callable[[], bool] = always,
) -> None:
    """Do ``step`` as long as it is wanted; no failure ends it.

    What a step does not handle itself is logged, and the next one
    follows a second later. A step waits by itself until it is due.
    """
    while wanted():
        try:
            step()
        except Exception as exc:
            logs.emit(events.TASK_FAILED, error=repr(exc))
            gevent.sleep(FAILURE_PAUSE_S)


def keep_doing_every(pause_s: float, step: Callable[[], object]) -> None:
    """Do ``step`` after each ``pause_s`` seconds; no failure ends it."""

    def wait_and_step() -> None:  # noqa: WPS430
        gevent.sleep(pause_s)
        step()

    keep_doing(wait_and_step)

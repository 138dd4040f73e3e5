"""Work that goes on beside the requests for as long as the process."""

import itertools
from collections.abc import Callable

import gevent

from cactusridge import events, logs

FAILURE_PAUSE_S = 1


def always() -> bool:
    """Tell that there is something to do."""
    return True


def run_forever(
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


def run_every(
    pause_s: float,
    step: Callable[[], object],
    *,
    at_once: bool = False,
) -> None:
    """Do ``step`` after each ``pause_s`` seconds; no failure ends it.

    The first is done ``at_once`` or after a pause like the others.
    """
    pauses = itertools.chain([0] if at_once else [], itertools.repeat(pause_s))

    def wait_and_step() -> None:  # noqa: WPS430
        gevent.sleep(next(pauses))
        step()

    run_forever(wait_and_step)

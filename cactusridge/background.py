"""Background tasks that repeat until the process ends."""

import itertools
from collections.abc import Callable

import gevent

from cactusridge import events, logs

# Seconds between a failed step and the next one.
FAILURE_PAUSE_S = 1
# Seconds between two checks whether a step is wanted: a wake-up of an idle
# process costs processor time too.
UNWANTED_PAUSE_S = 0.5


def always() -> bool:
    """Return True: the default condition of ``run_forever``."""
    return True


def run_forever(
    step: Callable[[], object],
    wanted: Callable[[], bool] = always,
) -> None:
    """Call ``step`` again and again while ``wanted`` returns True.

    An exception of ``step`` is logged, and the next call follows after
    FAILURE_PAUSE_S. ``step`` itself has to wait until it is due.
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
    """Call ``step`` every ``pause_s`` seconds; log its exceptions.

    The first call is made at once if ``at_once`` is set, and after
    ``pause_s`` otherwise.
    """
    pauses = itertools.chain([0] if at_once else [], itertools.repeat(pause_s))

    def wait_and_step() -> None:  # noqa: WPS430
        gevent.sleep(next(pauses))
        step()

    run_forever(wait_and_step)


def run_every_while(
    pause_s: float,
    step: Callable[[], object],
    wanted: Callable[[], bool],
) -> None:
    """Call ``step`` every ``pause_s`` seconds while ``wanted`` returns True.

    Otherwise ``wanted`` is called again every UNWANTED_PAUSE_S seconds.
    """

    def wait_and_step() -> None:  # noqa: WPS430
        is_wanted = wanted()
        gevent.sleep(pause_s if is_wanted else UNWANTED_PAUSE_S)
        if is_wanted:
            step()

    run_forever(wait_and_step)

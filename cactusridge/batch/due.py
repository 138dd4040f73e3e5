"""Computes the due time of a job."""

import datetime
import re
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.errors import BadRequest
from cactusridge.settings.schema import JobSettings

WINDOW = re.compile(r'(\d{1,6})([smhd])')
UNIT_S = MappingProxyType({'s': 1, 'm': 60, 'h': 3600, 'd': 86_400})
DAY_S = 86_400


class Due(NamedTuple):
    """Due time in Unix seconds, and the completion window as requested."""

    at: float
    window: str


def parse_window(text: object) -> float:
    """Return the seconds in a window such as ``24h`` or ``15m``.

    Raises BadRequest.
    """
    found = WINDOW.fullmatch(text) if isinstance(text, str) else None
    if found is None or not int(found[1]):
        raise BadRequest(
            'completion_window must be a number followed by s, m, h or d',
            param='completion_window',
        )
    return int(found[1]) * UNIT_S[found[2]]


def due_of(window: object, settings: JobSettings | None, now: float) -> Due:
    """Return the due time of a job accepted at ``now`` (Unix seconds).

    The settings of the job's class can make the due time earlier than the
    requested window, but not later. Raises BadRequest.
    """
    times = [now + parse_window(window)]
    if settings is not None and settings.due_in_s is not None:
        times.append(now + settings.due_in_s)
    if settings is not None and settings.due_at is not None:
        times.append(next_time_of_day(settings.due_at, now))
    return Due(min(times), str(window))


def next_time_of_day(text: str, now: float) -> float:
    """Return the next Unix time at which it is ``text`` (HH:MM) in UTC."""
    hour, minute = map(int, text.split(':'))
    moment = datetime.datetime.fromtimestamp(now, datetime.UTC)
    target = moment.replace(hour=hour, minute=minute, second=0, microsecond=0)
    stamp = target.timestamp()
    return stamp if stamp > now else stamp + DAY_S

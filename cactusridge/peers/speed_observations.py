"""Observations of the speed of a replica, as entries send them to peers."""

import math
from typing import Any, NamedTuple

# Most replicas whose observations one message has. It bounds the bytes that a
# datagram gains to some 800; the rest follow with the next repeats.
MAX_REPLICAS = 16
# Most observations of one replica that are accepted at once: an entry
# completes fewer requests at one replica in half a second.
MAX_SAMPLES = 32
# Longest age that is accepted, in seconds. Older observations count for
# little.
MAX_AGE_S = 30


class SpeedObservations(NamedTuple):
    """New observations of one replica by one entry.

    ``ratio`` is the mean of the observed times as multiples of the usual time,
    ``samples`` their number and ``age_s`` their mean age in seconds.
    """

    ratio: float
    samples: int
    age_s: float


def encode_speeds(found: dict[str, SpeedObservations]) -> dict[str, list[Any]]:
    """Return observations by incarnation key as plain values."""
    return {
        incarnation: [
            round(each.ratio, 3),
            each.samples,
            round(each.age_s, 2),
        ]
        for incarnation, each in found.items()
    }


def decode_speeds(raw: Any) -> dict[str, SpeedObservations]:
    """Return the observations in a message, limited to sane values.

    Raises ValueError for an unreadable message.
    """
    if not isinstance(raw, dict) or len(raw) > MAX_REPLICAS:
        raise ValueError('no observations of speeds')
    return {incarnation: _decode(each) for incarnation, each in raw.items()}


def _decode(raw: Any) -> SpeedObservations:
    if not isinstance(raw, list) or len(raw) != len(SpeedObservations._fields):
        raise ValueError('no observations of a speed')
    if not all(_is_number(each) for each in raw):
        raise ValueError('an observation of a speed is no number')
    ratio, samples, age_s = raw
    return SpeedObservations(
        max(0, ratio),
        int(max(0, min(MAX_SAMPLES, samples))),
        max(0, min(MAX_AGE_S, age_s)),
    )


def _is_number(raw: Any) -> bool:
    # JSON has integers too long for a float; isfinite cannot convert them.
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    return is_number and abs(raw) < math.inf

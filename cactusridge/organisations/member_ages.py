"""How long an entry must have been a member before it counts limits."""

from collections.abc import Sequence

from cactusridge.organisations.limit_messages import Candidate

# Milliseconds of uninterrupted membership before an entry may be an owner.
SETTLE_MS = 3000
# Further milliseconds before a new owner counts requests in its own right. The
# other entries read the membership list every second and must have seen the
# change.
PEER_READ_MS = 1500
# Milliseconds before that at which the previous owner stops, if it has not
# handed over its counts until then: a margin for the clocks.
STOP_MARGIN_MS = 500
# Milliseconds of membership after which the previous owner hands over its
# counts. All entries that send requests must have seen the change, or one of
# them could ask a backup owner to count for an owner that has exited.
CEDE_MS = 3600


def settled(listed: Sequence[Candidate], at_ms: float) -> frozenset[Candidate]:
    """Return the members that have been listed since ``at_ms``.

    Also those listed within SETTLE_MS of the oldest member. They need not
    wait: after a restart of the whole fleet no earlier owner is left that
    could still be counting.
    """
    first_ms = min((each.since_ms for each in listed), default=0)
    settled_ms = max(at_ms, first_ms + SETTLE_MS)
    return frozenset(each for each in listed if each.since_ms <= settled_ms)


def next_change_ms(listed: Sequence[Candidate], now_ms: float) -> float:
    """Return when another member will have been listed for long enough."""
    waits_ms = (
        SETTLE_MS,
        CEDE_MS,
        SETTLE_MS + PEER_READ_MS - STOP_MARGIN_MS,
        SETTLE_MS + PEER_READ_MS,
    )
    times = (each.since_ms + wait for each in listed for wait in waits_ms)
    return min((each for each in times if each > now_ms), default=float('inf'))

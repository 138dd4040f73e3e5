"""Which word on a host is believed: the list's or the host's own."""

import enum
from typing import NamedTuple

from cactusridge.store.host_list import HostState

SILENT_PROBES = 6
UNLISTED_S = 30


class Belief(enum.StrEnum):
    """What an entry makes of a host."""

    serving = 'serving'
    leaving = 'leaving'
    silent = 'silent'
    gone = 'gone'


class Evidence(NamedTuple):
    """What is known of a host.

    ``listed`` is the list's word, None once it is not listed any more;
    ``unlisted_s`` the seconds since then. ``heard_s`` is the seconds
    since the host itself last answered, None if it never has.
    ``draining`` is the host's own word in that answer; ``probe_s`` how
    often it is asked.
    """

    listed: HostState | None
    unlisted_s: float
    heard_s: float | None
    draining: bool
    probe_s: float


def judge(evidence: Evidence) -> Belief:
    """Return what to make of a host.

    Its own word to leave is final for this incarnation. The list's word
    to leave is believed too, since either alone must do. A host that
    has not answered for some probes gets no new work, whatever the
    list says; one that answers but is not listed is served on for a
    time, since the list lags, and then let go.
    """
    patience_s = SILENT_PROBES * evidence.probe_s
    silent = evidence.heard_s is None or evidence.heard_s > patience_s
    if evidence.listed is None:
        if silent or evidence.unlisted_s > UNLISTED_S:
            return Belief.gone
    if evidence.draining or evidence.listed == HostState.leaving:
        return Belief.leaving
    return Belief.silent if silent else Belief.serving

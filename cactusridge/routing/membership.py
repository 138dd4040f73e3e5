"""Combines a host's listed state with its own responses to probes."""

import enum
from typing import NamedTuple

from cactusridge.store.host_list import HostState

# Probe intervals without a response after which a host counts as silent. A
# probe whose connection has gone silent takes silence_timeout_s, 6 intervals,
# and the next one up to 1.2 intervals before and after it.
SILENT_PROBES = 9
UNLISTED_GRACE_S = 30


class HostStatus(enum.StrEnum):
    """The state of a host as an entry judges it."""

    serving = 'serving'
    leaving = 'leaving'
    silent = 'silent'
    removed = 'gone'


class Evidence(NamedTuple):
    """What an entry knows about a host.

    ``listed`` is the host's state in the membership list, None once it is no
    longer listed. ``unlisted_s`` is the seconds since it left the list.
    ``report_age_s`` is the seconds since the host last responded to a probe,
    None if it never has. ``draining`` is what the host reported in that
    response. ``probe_s`` is the interval of the probes in seconds.
    """

    listed: HostState | None
    unlisted_s: float
    report_age_s: float | None
    draining: bool
    probe_s: float


def host_status(evidence: Evidence) -> HostStatus:
    """Return the state of a host.

    A host that has reported that it drains counts as leaving for the rest of
    its incarnation. A host that is listed as leaving counts as such too,
    because either source alone must be enough. A host that has not responded
    for SILENT_PROBES probes gets no new work, whatever the list says. An
    unlisted host that responds is still used for UNLISTED_GRACE_S seconds,
    because the list can lag behind. After that, or if it does not respond, it
    counts as gone.
    """
    timeout_s = SILENT_PROBES * evidence.probe_s
    silent = evidence.report_age_s is None or evidence.report_age_s > timeout_s
    if evidence.listed is None:
        if silent or evidence.unlisted_s > UNLISTED_GRACE_S:
            return HostStatus.removed
    if evidence.draining or evidence.listed == HostState.leaving:
        return HostStatus.leaving
    return HostStatus.silent if silent else HostStatus.serving

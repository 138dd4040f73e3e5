"""What the fleet, the store and the configurations of a seed are like.

Lower seeds, which are kept as regression cases, draw the same as before.
"""

import random
from types import MappingProxyType
from typing import NamedTuple

from soak.configurations import SECOND_SERVICE, Configurations
from soak.job_routes import JobRoutes
from soak.organisation_checks import REVOKED_BOUND_S
from soak.organisations import LIMITS, Organisations
from soak.schedule import (
    FIRST_SEED_OF_BROKEN,
    FIRST_SEED_OF_SHAPES,
    FIRST_SEED_OF_SILENCES,
    FIRST_SEED_OF_VERSIONS,
    SHAPES_ONLY_EVERY,
)
from soak.world import World

FIRST_SEED_OF_ORGANISATIONS = 300
# From FIRST_SEED_OF_SILENCES on, of three seeds one has one replica of each
# version with few slots, and one has a service of its own for its last replica.
FLEETS = 3
SMALL_FLEET = 0
SPLIT_FLEET = 1
# Seconds without data after which callers leave a stream: the longest of 2 s,
# four times the latency objective and eight times the longest pause.
GAP_S = 2.0
# Further entries where little else is drawn: the more peers an entry has, the
# sooner after its start one of them sends it the configuration.
MORE_ENTRIES = 2
# What the store's clock shows at the start of a run: that of a store which has
# just started, and of one that runs for a month.
CLOCK_STARTS_S = (1.0, 2_592_000.0)
# Largest body where callers upload, in bytes.
MAX_BODY_BYTES = 8 << 20
# What the machines have: entries take requests for 3 s after SIGTERM.
STOP_SETTINGS = MappingProxyType(
    {'readiness_delay_s': 2.7, 'drain_timeout_s': 4.5}
)


class Size(NamedTuple):
    """The size of a run; faults start in its first ``seconds``."""

    seconds: float = 20
    entries: int = 3
    replicas: int = 3
    slots: int = 4
    callers: int = 8
    job_callers: int = 2


def size_of(seed: int, size: Size) -> Size:
    """Return the size of a run of ``seed`` that is to have ``size``."""
    if _has_shapes_only(seed):
        size = size._replace(entries=size.entries + MORE_ENTRIES)
    if seed >= FIRST_SEED_OF_SILENCES and seed % FLEETS == SMALL_FLEET:
        size = size._replace(replicas=2, slots=2)
    return size


def vary(world: World, seed: int) -> None:
    """Give a world that has not begun what ``seed`` draws."""
    # An entry that cannot confirm keys yet accepts no jobs of organisations.
    if seed >= FIRST_SEED_OF_ORGANISATIONS and not _has_shapes_only(seed):
        world.record.organisations = Organisations(LIMITS)
        world.extra_settings['revoke_ms'] = REVOKED_BOUND_S * 1000
    if seed >= FIRST_SEED_OF_VERSIONS:
        world.mix_versions()
    if seed >= FIRST_SEED_OF_SILENCES:
        _vary_configurations(world, seed)
    if seed >= FIRST_SEED_OF_BROKEN:
        world.limits['max_body_bytes'] = MAX_BODY_BYTES


def _vary_configurations(world: World, seed: int) -> None:
    split = seed % FLEETS == SPLIT_FLEET
    rng = random.Random(seed)  # noqa: S311
    shapes = random.Random(f'shapes {seed}')  # noqa: S311
    job_routes = None
    if seed >= FIRST_SEED_OF_SHAPES:
        job_routes = JobRoutes(shapes, SECOND_SERVICE)
        world.store.clock.start_at(shapes.choice(CLOCK_STARTS_S))
    world.configurations = Configurations(rng, split, job_routes)
    if split:
        world.replicas[-1].service = SECOND_SERVICE
    world.extra_settings.update(STOP_SETTINGS)
    world.gap_s = GAP_S


def _has_shapes_only(seed: int) -> bool:
    return seed >= FIRST_SEED_OF_SHAPES and seed % SHAPES_ONLY_EVERY == 0

"""The organisations of a soak, with their API keys and limits."""

import random
import time
from typing import Any, NamedTuple


class Limit(NamedTuple):
    """The limit of an organisation; a rate of 0 means that it has none."""

    rate_per_s: float
    burst: float


# The organisation that sends several times its limit. All callers of the
# others together send about 13 requests a second.
GREEDY = 'greedy'
GREEDY_KEY = f'secret-{GREEDY}'
STEADY = 'steady-'
# Rates and bursts that a changed quota may have; callers stay below all.
QUOTAS = (20, 40)
LIMITS = (
    *((f'{STEADY}{number}', Limit(20, 20)) for number in range(3)),
    ('unlimited', Limit(0, 0)),
    (GREEDY, Limit(8, 8)),
)


class Organisations:
    """Grants and revokes the keys of organisations, of which none may exist.

    The first key of each organisation is never revoked.
    """

    def __init__(self, limits: tuple[tuple[str, Limit], ...] = ()) -> None:
        """Grant each organisation its first key."""
        # The largest limits so far, and those of the next catalog.
        self.limits = dict(limits)
        self._quotas = dict(limits)
        self.first_keys = [f'secret-{name}' for name in self.limits]
        # The organisation of each key, and when it was revoked, in seconds.
        self.owners = dict(zip(self.first_keys, self.limits, strict=True))
        self.revoked_at: dict[str, float] = {}
        # The key of all jobs, so that each caller may read each job.
        self.job_key = ''.join(self.first_keys[:1])

    def holders(self) -> list[dict[str, Any]] | None:
        """Return the organisations of a catalog, None if there are none."""
        valid = self.owners.keys() - self.revoked_at.keys()
        holders = [
            {
                'name': name,
                'api_keys': [key for key in valid if self.owners[key] == name],
                **limit._asdict(),
            }
            for name, limit in self._quotas.items()
        ]
        return holders or None

    def rotate(self) -> None:
        """Revoke the newest key; grant one to the next organisation.

        The next catalog has to be written at once.
        """
        number = len(self.owners)
        if number > len(self.limits):
            self.revoked_at[list(self.owners)[-1]] = time.monotonic()
        name = list(self.limits)[number % len(self.limits)]
        self.owners[f'secret-{name}-{number}'] = name

    def change_quota(self, rng: random.Random) -> None:
        """Draw the limit of one of the organisations that stay below it."""
        names = [name for name in self.limits if name.startswith(STEADY)]
        name = rng.choice(names)
        quota = Limit(rng.randint(*QUOTAS), rng.randint(*QUOTAS))
        self._quotas[name] = quota
        self.limits[name] = Limit(*map(max, quota, self.limits[name]))

    def draw_key(self, rng: random.Random) -> str:
        """Return a valid or revoked key of others; '' if none exist."""
        keys = [key for key, name in self.owners.items() if name != GREEDY]
        return rng.choice(keys) if keys else ''


def key_headers(key: str) -> dict[str, str]:
    """Return the headers of a request with a key and a false organisation."""
    claim = {'Authorization': f'Bearer {key}', 'x-tenant': 'false'}
    return claim if key else {}

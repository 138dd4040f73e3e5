"""Tests of cactusridge, which run with gevent's monkey patches.

The patches are applied before any other module is imported.
"""

from gevent import monkey

monkey.patch_all()

import logging

import structlog
from hypothesis import HealthCheck, settings

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)
# The verdict of a property must depend neither on chance nor on the load of
# the machine.
settings.register_profile(
    'repeatable',
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('repeatable')

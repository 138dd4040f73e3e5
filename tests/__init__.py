"""Tests of cactusridge, which run with gevent's monkey patches.

The patches are applied before any other module is imported.
"""

from gevent import monkey

monkey.patch_all()

import logging

import structlog

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
)

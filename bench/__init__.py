"""Measurements: traces replayed through real processes, cost, capacity."""

from gevent import monkey

monkey.patch_all()

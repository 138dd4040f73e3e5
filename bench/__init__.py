"""Benchmarks: replayed traces, cost of the request path, and capacity."""

from gevent import monkey

monkey.patch_all()

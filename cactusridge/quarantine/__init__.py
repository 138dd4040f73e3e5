"""Quarantines requests that crash the replicas that run them."""

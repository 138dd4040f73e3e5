"""Decisions about replicas: selection, ejection, retries, membership."""

"""Organisations that callers belong to, their API keys and rate limits."""

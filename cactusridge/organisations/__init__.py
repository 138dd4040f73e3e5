"""Who callers belong to: organisations, their keys and their limits."""

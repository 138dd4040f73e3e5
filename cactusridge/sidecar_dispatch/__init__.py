"""Placing requests at sidecars: the fleet, attempts, retries, outcomes."""

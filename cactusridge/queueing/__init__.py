"""Requests that wait at their entry for a free slot, and their order."""

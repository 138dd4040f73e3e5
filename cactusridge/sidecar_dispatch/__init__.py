"""Sends requests to sidecars, retries them and resolves lost replies."""

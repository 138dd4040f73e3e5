"""Adapter to the platform: its store, replica list, headers and routes."""

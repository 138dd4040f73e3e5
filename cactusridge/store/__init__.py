"""Clients of the platform's store: tables, objects and the host list."""

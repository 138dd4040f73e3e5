"""The demo: two entries, four sidecars and simulated outside systems."""

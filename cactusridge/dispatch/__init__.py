"""Placing requests directly at upstreams, with what entries know."""

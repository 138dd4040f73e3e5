"""Batch jobs whose items entries run directly at upstreams."""

"""Sends requests from entries directly to upstreams."""

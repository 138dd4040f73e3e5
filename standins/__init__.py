"""Simulated outside systems for the tests, the benchmarks and the demo."""

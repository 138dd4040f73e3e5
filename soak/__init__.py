"""A randomized soak test: real entries, injected faults, checked promises."""

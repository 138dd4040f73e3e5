"""A randomized soak: real entries, faults from outside, promises checked."""

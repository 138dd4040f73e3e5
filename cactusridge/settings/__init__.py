"""The tree of settings that operators change at run time."""

"""The command line for operators and callers."""

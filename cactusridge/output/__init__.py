"""Output formats of the command line."""

"""Batch jobs: input files, acceptance, span leases, items and results."""

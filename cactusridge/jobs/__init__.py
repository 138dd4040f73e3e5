"""Batch jobs whose items an entry sends directly to upstream replicas."""

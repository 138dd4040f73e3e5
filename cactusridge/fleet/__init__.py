"""Which replicas there are, life by life."""

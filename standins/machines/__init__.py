"""Stand-ins for the direct entry's platform: its store and replicas."""

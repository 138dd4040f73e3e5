"""Stand-ins of the machines' platform: its store and its replicas."""

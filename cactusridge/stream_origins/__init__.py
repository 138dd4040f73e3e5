"""Records the software version at which each stream began."""

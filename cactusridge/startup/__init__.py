"""The start settings of a daemon, validated in full at its start."""

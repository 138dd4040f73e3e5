"""What entries tell each other: counts, offers, strikes, limits, keys."""

"""Messages between entries: counts, offers, strikes, limits and keys."""

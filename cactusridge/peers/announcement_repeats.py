"""Repeats of announcements to peers."""

# Number of repeats of an announcement, at two a second. They last longer than
# an entry can be suspended or partitioned and still act on what it knew.
ANNOUNCEMENT_REPEATS = 20


class AnnouncementRepeats:
    """The announced versions by subject that are still to be repeated."""

    def __init__(self) -> None:
        """Start without announcements."""
        self._left: dict[str, tuple[int, int]] = {}

    def add(self, subject: str, version: int) -> None:
        """Repeat a version of ``subject``, in place of an earlier one."""
        self._left[subject] = (version, ANNOUNCEMENT_REPEATS)

    def take(self) -> dict[str, int]:
        """Return the announcements due for a repeat, and count the repeats."""
        repeats = self._left
        self._left = {
            subject: (version, left - 1)
            for subject, (version, left) in repeats.items()
            if left > 1
        }
        return {subject: version for subject, (version, _) in repeats.items()}

"""What a change of the settings file does to a process that runs."""

from cactusridge import events, logs
from cactusridge.startup.loader import BadStartSettings, load_file
from cactusridge.startup.models import DirectEntrySettings

ROLE = 'direct_entry'


class Reloader:
    """Reads the settings file again when the platform says so.

    Addresses and names are those of the machine and hold for the life
    of the process; a restart takes them over. What is said here is
    which fields differ, so that an operator sees what is not in force.
    """

    def __init__(self, path: str, cfg: DirectEntrySettings) -> None:
        """Compare the file at ``path`` with ``cfg``, which is in force."""
        self._path = path
        self._cfg = cfg

    def reload(self) -> list[str]:
        """Return the names of the fields that differ from those in force."""
        try:
            found = load_file(self._path, ROLE)
        except BadStartSettings as exc:
            logs.emit(
                events.RELOAD_REFUSED,
                mistakes=[str(mistake) for mistake in exc.exceptions],
            )
            return []
        differing = sorted(
            name
            for name in found.__struct_fields__
            if getattr(found, name) != getattr(self._cfg, name)
        )
        logs.emit(events.RELOADED, waiting_for_restart=differing)
        return differing

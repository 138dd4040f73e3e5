"""Reports changes of the settings file to a running process."""

from cactusridge import events, logs
from cactusridge.startup.loader import BadStartSettings, load_file
from cactusridge.startup.models import DirectEntrySettings

ROLE = 'direct_entry'


class Reloader:
    """Reads the settings file again when SIGHUP arrives.

    The settings hold the addresses and names of the machine and stay in
    force until the process is restarted. A reload only logs which fields
    of the file differ, so that an operator sees what is not in force.
    """

    def __init__(self, path: str, cfg: DirectEntrySettings) -> None:
        """Compare the file at ``path`` with ``cfg``, which is in force."""
        self._path = path
        self._cfg = cfg

    def reload(self) -> list[str]:
        """Log and return the names of the fields that differ.

        An invalid file is logged and yields an empty list.
        """
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

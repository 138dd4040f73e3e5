"""Reads which parts of a request's prompt other requests share."""

from cactusridge.dispatch.upstream import HeaderList
from cactusridge.platform import names
from cactusridge.quarantine.fingerprint import prompt_part_key

# Limits how many parts of a prompt are considered, from the first on.
MAX_PARTS = 32


def shared_parts(headers: HeaderList) -> tuple[str, ...]:
    """Return the keys of all parts of a prompt but the last, in order."""
    by_name = {name.lower(): text for name, text in headers}
    listed = by_name.get(names.PROMPT_PARTS.lower(), '')
    model = by_name.get(names.MODEL.lower(), '')
    ids = [
        entry.partition(':')[0].strip().lower() for entry in listed.split(',')
    ]
    shared = dict.fromkeys(ids[: min(len(ids) - 1, MAX_PARTS)])
    return tuple(prompt_part_key(model, each) for each in shared if each)

"""Checks that a part of a prompt which crashes replicas is held back."""

from soak.record import Record

# Crashes after which, some time later, few further requests with the part may
# reach a replica.
CRASHES = 5
LATE_REQUESTS = 3
CONTACT_S = 3.0


def check_guilty_parts(record: Record) -> None:
    """Check each guilty part against the times of its crashes.

    A crash counts as late only if nothing else but planned work disturbed the
    fleet from CONTACT_S before it on.
    """
    for part, crashes in record.guilty_parts.items():
        known_at = sorted(crashes)[CRASHES - 1 : CRASHES]
        late = [
            at
            for at in crashes
            if known_at
            and at > known_at[0] + CONTACT_S
            and not _is_disturbed(record, at)
        ]
        if len(late) > LATE_REQUESTS:
            text = f'{part}: {sorted(crashes)}, late {late}'
            record.add_violation('guilty parts stop', text)


def _is_disturbed(record: Record, at: float) -> bool:
    return any(
        each.started_at <= at and each.ended_at >= at - CONTACT_S
        for each in record.disturbances
        if not (each.planned or each.what.startswith('GuiltyPart'))
    )

"""Messages between simulated entries, delivered at once or lost."""

import typing

from cactusridge.organisations.limit_messages import HandoverLink, JoinLink

if typing.TYPE_CHECKING:
    from tests.limits_entry import Entry


class FleetLink(HandoverLink, JoinLink):
    """Calls the other entries of a simulation."""

    def __init__(self, entry: 'Entry') -> None:
        """Send on behalf of ``entry``."""
        self._entry = entry
        # Returns whether a message is lost, by the name of its method.
        self.is_lost: typing.Callable[[str], bool] = self._is_lost

    def send_handover(self, handover):
        """Deliver a handover."""
        for other in self._reached(handover.receiver.name, 'handover'):
            other.process.handover.receive(handover)

    def acknowledge(self, entry, number, *, accepted):
        """Deliver an acknowledgement."""
        for other in self._reached(entry, 'acknowledgement'):
            other.process.handover.acknowledged(number, accepted=accepted)

    def ask(self, entry, asker, names):
        """Deliver a request for counts."""
        for other in self._reached(entry, 'ask'):
            other.process.handover.receive_ask(asker, names)

    def decline(self, entry, names, reply):
        """Deliver the response to a request for counts."""
        for other in self._reached(entry, 'decline'):
            other.process.handover.takeovers.declined(
                self._entry.name, names, reply
            )

    def announce_stop(self, stopping, entry=''):
        """Deliver the announcement of a stop to one or all entries."""
        names = [entry] if entry else list(self._entry.fleet.by_name)
        for name in names:
            for other in self._reached(name, 'stop'):
                other.process.handover.receive_stop(stopping)

    def announce(self, entry, joining, *, counts):
        """Deliver the announcement of an entry that joins."""
        for other in self._reached(entry, 'announcement'):
            other.process.joins.receive(joining, counts=counts)

    def confirm(self, joining, own, *, counts):
        """Deliver the response to an announcement."""
        for other in self._reached(joining.name, 'confirmation'):
            other.process.joins.receive_confirmation(
                self._entry.name, joining, own if counts else None
            )

    def exited(self, entries):
        """Return the entries whose hosts are reachable but refuse."""
        return [each for each in entries if self._entry.has_seen_exit(each)]

    def send_reports(self, entry, reports):
        """Deliver reports about the store."""
        for other in self._reached(entry, 'reports'):
            other.process.watch.receive(self._entry.name, reports)

    def _reached(self, name: str, kind: str) -> list['Entry']:
        """Return the entry called ``name`` if a message arrives there."""
        self._entry.fleet.handover_messages += 1
        other = self._entry.fleet.by_name.get(name)
        if other is None or not self._entry.reaches(other):
            return []
        return [] if self.is_lost(kind) else [other]

    def _is_lost(self, kind: str) -> bool:
        share = self._entry.fleet.lost_share
        return bool(share) and self._entry.fleet.rng.random() < share

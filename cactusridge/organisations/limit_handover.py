"""Hands the counts of organisations over between entries.

An entry stops counting before it sends its counts, and the receiver starts
when it gets them. Whoever loses the right to count by the membership list
sends its counts to the entry that gains it, at a planned stop to the next one.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from cactusridge.clock import Clock
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_count import BURST_TOLERANCE, received
from cactusridge.organisations.limit_holds import CESSION_MS, LimitHolds
from cactusridge.organisations.limit_messages import (
    Candidate,
    Ceder,
    Declined,
    Handover,
    HandoverLink,
)
from cactusridge.organisations.limit_outbox import LimitOutbox
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.limit_receipts import LimitReceipts
from cactusridge.organisations.limit_takeovers import LimitTakeovers

# Organisations in one message, which then has at most some 40 KB.
MESSAGE_COUNTS = 100
# Seconds between two announcements of a planned stop to all entries. The first
# one is sent that long after the handovers, so that these arrive before.
ANNOUNCE_S = 0.3


class LimitHandover:
    """Decides when this entry hands over or takes over which counts."""

    def __init__(
        self,
        owners: LimitOwners,
        holds: LimitHolds,
        lease: LeaseState,
        link: HandoverLink,
        clock: Clock,
    ) -> None:
        """Hand over what is in ``holds`` through ``link``."""
        self.takeovers = LimitTakeovers(link, clock)
        self.outbox = LimitOutbox(link, clock)
        self._owners = owners
        self._holds = holds
        self._lease = lease
        self._link = link
        self._clock = clock
        self._announced_at = float(0)
        self._revision = owners.revision
        self._receipts = LimitReceipts(owners, holds, lease, clock)

    def stop(self) -> None:
        """Stop counting for good and hand over all counts."""
        if self.has_stopped:
            return
        self._owners.stop()
        self._announced_at = self._clock.monotonic()
        self._cede(self._holds.names())

    @property
    def own_name(self) -> str:
        """The peer address of this entry."""
        return self._owners.own_name

    @property
    def has_stopped(self) -> bool:
        """Whether this entry has stopped counting for good."""
        return self._owners.has_stopped

    def rebalance(self) -> None:
        """Hand over the counts of which this entry is the owner no longer."""
        own = self._owners.own
        if own is None or self.has_stopped:
            return
        has_lapsed = self._lease.has_lapsed()
        for name in self._holds.names():
            hold = self._holds.get(name)
            if has_lapsed or hold is None or hold.since_ms != own.since_ms:
                self._holds.drop(name)
        self._cede(self._holds.names())

    def run_due(self) -> None:
        """Repeat messages that were not answered; call this often."""
        self._rebalance_if_due()
        now = self._clock.monotonic()
        own = self._owners.own
        is_due = now - self._announced_at >= ANNOUNCE_S
        if own is not None and self.has_stopped and is_due:
            self._announced_at = now
            self._link.announce_stop(own)
        for handover in self.outbox.pending():
            self._check_receiver(handover)
        self.outbox.resend()
        if own is not None:
            self.takeovers.resend(own)

    def receive(self, handover: Handover) -> None:
        """Take over counts, unless the message is old or not for this entry."""
        if not self._owners.store_clock.is_known:
            return
        now_ms = self._owners.store_clock.now_ms()
        sender = handover.sender
        if handover.receiver != self._owners.own or now_ms > handover.until_ms:
            return
        if handover.stopping:
            self._owners.note_stopping(sender)
        if self.has_stopped:
            self._link.announce_stop(handover.receiver, sender.name)
            accepted = self._receipts.has_accepted(handover)
        else:
            accepted = self._receipts.receive(handover)
        if accepted:
            self.takeovers.forget(held.name for held in handover.counts)
        self._link.acknowledge(sender.name, handover.number, accepted=accepted)

    def acknowledged(self, number: int, *, accepted: bool) -> None:
        """Record the response to a handover.

        If it was not accepted, the receiver will not count for a time, like
        one that has handed over. This entry goes on or asks the next one.
        """
        handover = self.outbox.acknowledged(number, accepted=accepted)
        if handover is None or accepted:
            return
        now = self._clock.monotonic()
        passed_over = Ceder(handover.receiver, handover.until_ms)
        for held in handover.counts:
            ceders = (*held.ceders[:-1], passed_over)
            self._holds.hold(held.name, received(held, now), ceders)
        self._cede(held.name for held in handover.counts)

    def receive_ask(self, asker: Candidate, names: Sequence[str]) -> None:
        """Hand over organisations that ``asker`` owns, or decline."""
        given = []
        declined: defaultdict[Declined, list[str]] = defaultdict(list)
        for name in names:
            if self._yields(name, asker):
                given.append(name)
            else:
                declined[self._declined(name, asker)].append(name)
        self._send(asker, given)
        for reply, its_names in declined.items():
            self._link.decline(asker.name, its_names, reply)

    def receive_stop(self, entry: Candidate) -> None:
        """Record that ``entry`` counts nothing any more."""
        self._owners.note_stopping(entry)
        self.rebalance()

    def _rebalance_if_due(self) -> None:
        """Hand over counts if the owners have changed or the lease is over."""
        self._owners.update_if_due()
        is_due = self._owners.revision != self._revision
        self._revision = self._owners.revision
        if is_due or self._lease.has_lapsed():
            self.rebalance()

    def _declined(self, name: str, asker: Candidate) -> Declined:
        """Return why ``asker`` does not get an organisation."""
        if self._holds.get(name) is not None:
            return Declined(self.own_name)
        ceded_to = self._holds.ceded_to(name)
        if ceded_to is not None and ceded_to != asker:
            return Declined(ceded_to.name)
        is_current = self._lease.is_current() and not self.has_stopped
        is_before = self._owners.is_before(name, asker)
        # This entry may begin to count if it does not know the other one yet,
        # or the counts may still be on their way.
        if is_current and (not is_before or self.outbox.has(name)):
            return Declined(self.own_name)
        # An entry that counts in its own right knows of any other one.
        return Declined('', is_current and self._owners.has_own_right)

    def _yields(self, name: str, asker: Candidate) -> bool:
        """Return whether ``asker`` may have what this entry holds."""
        is_held = self._holds.get(name) is not None
        if not is_held or asker not in self._owners.listed:
            return False
        before = self._owners.is_before(name, asker)
        return before or self._holds.usable(name) is None

    def _cede(self, names: Iterable[str]) -> None:
        """Send each organisation to the entry that should have it, if any."""
        receivers: defaultdict[Candidate, list[str]] = defaultdict(list)
        for name in names:
            receiver = self._receiver(name)
            if receiver is not None:
                receivers[receiver].append(name)
        for to, its_names in receivers.items():
            self._send(to, its_names)

    def _receiver(self, name: str) -> Candidate | None:
        """Return the entry to send an organisation to; None to keep it."""
        own = self._owners.own
        hold = self._holds.get(name)
        if own is None or hold is None:
            return None
        ceders = hold.ceders_at(self._owners.store_clock.now_ms())
        receiver = self._owners.receiver(name, ceders)
        return None if receiver == own else receiver

    def _send(self, receiver: Candidate, names: Sequence[str]) -> None:
        """Stop counting ``names`` and send their counts to ``receiver``."""
        own = self._owners.own
        if own is None:
            return
        now = self._clock.monotonic()
        until_ms = int(self._owners.store_clock.now_ms()) + CESSION_MS
        counts = []
        for name in names:
            hold = self._holds.get(name)
            if hold is not None:
                ceders = (*hold.ceders, Ceder(own, until_ms))
                counts.append(hold.count.handed_over(name, now, ceders))
                self._holds.cede(name, receiver, until_ms)
        for first in range(0, len(counts), MESSAGE_COUNTS):
            self.outbox.send(
                Handover(
                    self.outbox.next_number(),
                    own,
                    receiver,
                    until_ms,
                    self.has_stopped,
                    tuple(counts[first : first + MESSAGE_COUNTS]),
                )
            )

    def _check_receiver(self, handover: Handover) -> None:
        """Give up a handover to an entry that has left.

        At a planned stop its counts go to the next one, with few tokens, as
        the receiver may have admitted requests with them.
        """
        is_listed = self._owners.is_possible_owner(handover.receiver)
        if is_listed and self._owners.store_clock.now_ms() <= handover.until_ms:
            return
        self.outbox.give_up(handover)
        if not self.has_stopped:
            return
        now = self._clock.monotonic()
        for held in handover.counts:
            few = held._replace(tokens=min(held.tokens, BURST_TOLERANCE))
            self._holds.hold(held.name, received(few, now), held.ceders)
        self._cede(held.name for held in handover.counts)

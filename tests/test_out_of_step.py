"""Tests of streams at an entry that is out of step during a release."""

import signal

import gevent
from nose2.tools import params

from standins.machines.site import MachineSite
from standins.machines.stream_caller import StreamCaller
from tests.machine_case import MachineCase
from tests.versions_case import NEW, OLD

SERVERS = 9
CLIENTS = 40
# Events of a stream and the seconds between them: three seconds.
STREAM = b'60 0.05'
# Seconds from the start of the clients on: the trouble begins and ends, and
# replicas crash one after the other, each back after some time at NEW.
BEGIN_S = 2.0
END_S = 7.5
CRASHES_S = (2.6, 3.4, 4.2, 5.0)
LENGTH_S = 11
# More streams than this with events of two versions break the rule.
ALLOWED = 2


def cut_off(site: MachineSite, begins: bool) -> None:
    """Cut the entry ``two`` off from the store, which the others have."""
    link = site.store_links['two']
    link.refusing = begins
    if begins:
        link.reset()


def freeze(site: MachineSite, begins: bool) -> None:
    """Suspend the entry ``two``, or let it go on."""
    number = signal.SIGSTOP if begins else signal.SIGCONT
    site.entries['two'].send(number)


def take_store_down(site: MachineSite, begins: bool) -> None:
    """Let the store answer 503 to every entry."""
    site.store.down = begins


def leave(site: MachineSite, begins: bool) -> None:
    """Leave all entries in step."""


class TestOutOfStep(MachineCase):
    """Replicas come back under their ids at another version meanwhile."""

    replicas = SERVERS
    slots = 8

    def setUp(self):
        """Give all replicas the old version."""
        super().setUp()
        for number, replica in enumerate(self.site.replicas):
            replica.version = OLD
            self.site.restore_entry(number)
        gevent.sleep(1)
        self.caller = StreamCaller(self.site.addresses.__getitem__)
        self.finished = False
        self.mixed: list[str] = []

    def release(self, trouble) -> None:
        """Restart replicas at the new version during ``trouble``."""
        steps = [
            (BEGIN_S, lambda: trouble(self.site, True)),
            (END_S, lambda: trouble(self.site, False)),
            *((at_s, self.restart) for at_s in CRASHES_S),
        ]
        self.numbers = iter(range(SERVERS))
        for at_s, step in steps:
            gevent.spawn_later(at_s, step)

    def restart(self) -> None:
        """Crash the next replica, which comes back at the new version."""
        number = next(self.numbers)
        self.site.replicas[number].version = NEW
        self.site.crash(number)

    def call(self, client: int) -> None:
        """Ask for one stream after the other; take each up again once."""
        number = 0
        while not self.finished:
            first, other = self.entries[:: 1 if (client + number) % 2 else -1]
            stream = f's{client}-{number}'
            number += 1
            try:
                versions = self.take_stream(first, other, stream)
            except OSError:
                versions = set()
            if len(versions) > 1:
                self.mixed.append(stream)
            gevent.sleep(0.1)

    def take_stream(self, first: str, other: str, stream: str) -> set[str]:
        """Read a stream, and take it up again once; return its versions."""
        part = self.caller.read(first, stream, STREAM)
        if part.status != 200 or not part.events:
            return set()
        versions = part.versions()
        if not part.whole:
            rest = self.caller.read(
                other,
                f'{stream}-again',
                STREAM,
                resumes=stream,
                after=part.last_id,
            )
            versions |= rest.versions()
        return versions

    @params(
        (cut_off, True),
        (cut_off, False),
        (freeze, True),
        (take_store_down, True),
        (take_store_down, False),
        (leave, True),
    )
    def test_restarted_under_their_ids(self, trouble, reports):
        """No more streams than allowed have events of two versions.

        That holds also where replicas state nothing of themselves.
        """
        for replica in self.site.replicas:
            replica.reports = reports
        self.release(trouble)
        clients = [gevent.spawn(self.call, each) for each in range(CLIENTS)]
        gevent.sleep(LENGTH_S)
        self.finished = True
        gevent.joinall(clients, raise_error=True)
        broken = sum(each.incomplete_streams for each in self.site.replicas)
        self.assertTrue(broken)
        self.assertLessEqual(len(self.mixed), ALLOWED, self.mixed)

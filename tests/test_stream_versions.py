"""Tests that a stream goes on only at the software version that began it."""

import itertools

import gevent

from standins.waiting import wait_for
from tests.versions_case import (
    BODY,
    EVENTS,
    NEW,
    OLD,
    READ,
    STREAMS,
    VersionsCase,
)

# Least share of the resumed streams that have to go on.
MIN_RESUMED_SHARE = 0.5
# Seconds after which an entry counts as being in touch again.
CONTACT_S = 3.0
OK = 200
UNAVAILABLE = 503


class TestBrokenStreams(VersionsCase):
    """Streams that break at their replica and that their entry resumes."""

    def test_broken_stream_goes_on_at_its_own_version(self):
        """Broken streams are complete, each from one version."""
        for number in range(STREAMS):
            breaks = [READ]
            for replica in self.site.replicas:
                # One of them breaks off, whichever it is.
                replica.close_after_events = breaks
            entry = self.entries[number % len(self.entries)]
            self.begin(entry, None)
            self.assertTrue(self.begun.whole, self.begun)
            self.assertEqual(EVENTS, len(self.begun.events))
            self.check_one_version(self.begun)

    def test_broken_stream_without_a_replica_of_its_version_ends(self):
        """The stream is cut off, not continued at the other version."""
        self.site.store.remove(('servers', '', 'i-1'))
        gevent.sleep(0.5)
        for number in range(STREAMS):
            self.site.replicas[0].close_after_events = [READ]
            entry = self.entries[number % len(self.entries)]
            self.begin(entry, None)
            self.check_one_version(self.begun)
            if OLD in self.begun.versions():
                self.assertFalse(self.begun.whole)

    def test_replica_that_is_back_under_its_id_at_another_version(self):
        """A replica's entry with another version is another replica."""
        for number in range(1, 4):
            self.site.store.remove(('servers', '', f'i-{number}'))
        gevent.sleep(0.5)
        for _ in range(STREAMS):
            first = self.begin('one')
            version = self.site.replicas[0].version
            self.site.replicas[0].version = NEW if version == OLD else OLD
            self.site.restart_under_same_id(0)
            gevent.sleep(0.3)
            part = self.resume('one', first, self.begun)
            self.check_one_version(self.begun, part)


class TestResumedStreams(VersionsCase):
    """Streams that their callers resume, mostly at another entry."""

    def check_resumed_at_two(self) -> None:
        """Check that half or more of the streams of an entry go on."""
        resumed = 0
        for _ in range(STREAMS):
            first = self.begin('one')
            part = self.resume('two', first, self.begun)
            self.check_one_version(self.begun, part)
            resumed += part.whole and part.status == 200
        self.assertGreaterEqual(resumed, STREAMS * MIN_RESUMED_SHARE)

    def test_stream_resumed_at_another_entry_keeps_its_version(self):
        """Most resumed streams go on, none at another version."""
        pairs = itertools.cycle(itertools.permutations(self.entries, 2))
        resumed = 0
        for first_entry, entry in itertools.islice(pairs, STREAMS):
            first = self.begin(first_entry)
            part = self.resume(entry, first, self.begun)
            self.check_one_version(self.begun, part)
            resumed += part.whole and part.status == 200
        self.assertEqual(STREAMS, resumed)

    def test_stream_whose_entry_was_killed_goes_on_at_its_version(self):
        """Half or more go on though the entry that began them is gone."""
        begun = []
        for _ in range(STREAMS):
            begun.append((self.begin('one'), self.begun))
        self.site.entries['one'].kill()
        resumed = 0
        for first, before in begun:
            part = self.resume('two', first, before)
            self.check_one_version(before, part)
            resumed += part.whole and part.status == 200
        self.assertGreaterEqual(resumed, STREAMS * MIN_RESUMED_SHARE)

    def test_third_attempt_names_the_first(self):
        """Each attempt of a chain goes on at the version of the first."""
        for _ in range(STREAMS):
            first = self.begin('one')
            parts = [self.begun]
            for entry in ('two', 'three', 'one'):
                request_id = f'{first}-{entry}'
                parts.append(
                    self.caller.read(
                        entry, request_id, BODY, 2, first, parts[-1].last_id
                    )
                )
            self.check_one_version(*parts)
            self.assertEqual(READ + 6, sum(len(part.events) for part in parts))

    def test_unknown_stream_is_refused_at_once(self):
        """A stream of which no entry knows the version does not go on."""
        for resumes in ('', 'nobody-knows-it'):
            for entry in self.entries:
                part = self.caller.read(
                    entry, f'u{resumes}{entry}', BODY, None, resumes, '4'
                )
                with self.subTest(resumes, entry=entry):
                    self.assertEqual(UNAVAILABLE, part.status)
                    self.assertEqual([], part.events)

    def test_streams_from_before_a_start_of_all_are_not_mixed(self):
        """After a start of all entries no stream goes on at a guess."""
        begun = [(self.begin('one'), self.begun) for _ in range(STREAMS)]
        self.restart_all_entries()
        gevent.sleep(CONTACT_S)
        for first, before in begun:
            part = self.resume('two', first, before)
            self.check_one_version(before, part)

    def test_streams_from_before_a_start_of_all_go_on(self):
        """After a start of all entries streams go on at their versions."""
        begun = [(self.begin('one'), self.begun) for _ in range(STREAMS)]
        self.restart_all_entries()
        gevent.sleep(CONTACT_S)
        parts = [self.resume('two', *stream) for stream in begun]
        for (_, before), part in zip(begun, parts, strict=True):
            self.check_one_version(before, part)
        went_on = sum(part.status == OK for part in parts)
        self.assertGreaterEqual(went_on, MIN_RESUMED_SHARE * STREAMS)

    def test_entry_that_lists_replicas_which_are_gone(self):
        """An entry without the store still lists the replaced replicas."""
        gevent.sleep(CONTACT_S)
        link = self.site.store_links['two']
        link.refusing = True
        link.reset()
        self.site.restarts_under_new_id = True
        self.site.replicas[1].version = NEW
        self.site.crash(1)
        gevent.sleep(CONTACT_S)
        self.check_resumed_at_two()

    def test_streams_go_on_while_the_store_is_down(self):
        """The versions of streams are known without the store."""
        gevent.sleep(CONTACT_S)
        self.site.store.down = True
        self.check_resumed_at_two()


class TestItemVersions(VersionsCase):
    """Items of jobs, whose output several runs make."""

    def test_interrupted_item_has_output_of_one_version(self):
        """Items whose runs break off have output of one version."""
        for replica in self.site.replicas:
            replica.close_after_events = [READ] * 3
        self.site.submit('one', 'j1', ['12 0.03'] * STREAMS)
        self.wait_done('two', 'j1', STREAMS)
        self._check_outputs('j1')

    def test_item_of_a_lost_holder_has_output_of_one_version(self):
        """Items that another holder continues have output of one version."""
        self.site.submit('one', 'j2', ['60 0.05'] * STREAMS)
        wait_for('checkpoints', self._has_checkpoints, 10)
        gevent.sleep(0.5)
        self.site.entries['one'].kill()
        self.wait_done('two', 'j2', STREAMS)
        self._check_outputs('j2')

    def _has_checkpoints(self) -> bool:
        stored = self.site.store.rows.items()
        return any('partial' in str(place) for place, _ in stored)

    def _check_outputs(self, job: str) -> None:
        for found in self.site.results('two', job):
            lines = found['output'].split('\n')
            versions = {line.partition('.')[0] for line in lines}
            self.assertEqual(1, len(versions), lines)

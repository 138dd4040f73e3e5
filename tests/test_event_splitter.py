"""Splitting of streams into complete events."""

import unittest

from nose2.tools import params

from cactusridge.dispatch.event_splitter import (
    MAX_BLANK_BYTES,
    EventSplitter,
    EventTooLong,
)

STREAM = b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\nda'


class TestEventSplitter(unittest.TestCase):
    """Only complete events are returned, however the bytes arrive."""

    @params(1, 2, 5, 7, 100)
    def test_any_cut(self, size):
        """Pieces of every size give the same events."""
        splitter = EventSplitter()
        found = []
        for start in range(0, len(STREAM), size):
            found.extend(splitter.feed(STREAM[start : start + size]))
        self.assertEqual(['a', 'b\nc'], [event.payload for event in found])
        self.assertEqual('2', splitter.last_id)
        self.assertTrue(splitter.pending)

    def test_restart(self):
        """A break discards the incomplete event and keeps the last id."""
        splitter = EventSplitter()
        splitter.feed(STREAM)
        splitter.discard_partial()
        found = splitter.feed(b'id: 3\ndata: d\n\n')
        self.assertEqual(['d'], [event.payload for event in found])
        self.assertEqual('3', splitter.last_id)

    @params(b':\n\n', b'\n', b': more\n\n', b'event: ping\n\n', b'id: 9\n\n')
    def test_no_event(self, repeated):
        """What holds no data is bounded between two events, not in all."""
        splitter = EventSplitter()
        blank = repeated * (MAX_BLANK_BYTES // len(repeated) // 2 * 2)
        for number in range(4):
            splitter.feed(blank)
            splitter.feed(b'id: %d\ndata: a\n\n' % number)
        splitter.feed(blank)
        with self.assertRaises(EventTooLong):
            splitter.feed(b'id: 5\ndata: b\n\n%b%b' % (blank, blank))
        # The event that came with it is asked for again.
        self.assertNotEqual('5', splitter.last_id)

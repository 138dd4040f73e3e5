"""An unreadable row does not affect other rows."""

import json
import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.store.table import (
    Condition,
    ConditionFailed,
    Priority,
    Row,
    WriteUnknown,
)
from tests import scripted_link
from tests.emitted import emitted
from tests.scripted_link import (
    SPOILT_VALUES,
    UNNAMED,
    ScriptedLink,
    entry,
    packed,
    page,
    rows_over,
    spoilt,
)

REPORT = Priority.report
# Replies that are invalid as a whole, so that no row can be read.
SPOILT_FRAMES = (
    b'garbled',
    b'[]',
    b'5',
    b'{}',
    b'{"rows":{},"ver":1,"has_more":false}',
    b'{"rows":null,"ver":1,"has_more":false}',
    b'{"rows":[],"has_more":false}',
    b'{"rows":[],"ver":"x","has_more":false}',
    b'{"rows":[],"ver":true,"has_more":false}',
    b'{"rows":[],"ver":1}',
    b'{"rows":[],"ver":1,"has_more":"no"}',
    b'{"rows":[],"ver":1,"has_more":false,"now_ms":"x"}',
)


class RowsCase(unittest.TestCase):
    """The client of the platform's rows, with scripted replies."""

    def setUp(self):
        """Create the client without replies."""
        self.link = ScriptedLink()
        self.rows = rows_over(self.link)

    def read_all(self, message):
        """Yield the rows of a reply for each method that returns rows."""
        self.link.say(message)
        yield 'scan', self.rows.scan('t//', REPORT)
        yield 'snapshot', self.rows.snapshot(['t//']).rows
        yield 'changes', self.rows.changes('t', 0, 1).rows
        self.link.answers = []
        self.link.say(message, 412)
        with self.assertRaises(ConditionFailed) as caught:
            self.rows.transact([Condition('t//k00000', 1)], [], REPORT)
        yield 'failed condition', list(caught.exception.rows.values())


class TestSpoiltRows(RowsCase):
    """An invalid row among valid ones, for each way to read rows."""

    @params(*SPOILT_VALUES)
    def test_value(self, name, value):
        """An invalid value makes its row unreadable; others are read."""
        message = page([entry(0), spoilt(1, value), entry(2)])
        wanted = [
            Row('t//k00000', {'n': 0}, 1),
            Row('t//k00001', None, 2, unreadable=True),
            Row('t//k00002', {'n': 2}, 3),
        ]
        for way, found in self.read_all(message):
            with self.subTest(way):
                self.assertEqual(wanted, found)

    @params(*SPOILT_VALUES)
    def test_single_read(self, name, value):
        """A single invalid row is unreadable, not absent."""
        self.link.say(page([spoilt(0, value)]))
        found = self.rows.read(['t//k00000'], REPORT)
        self.assertEqual([Row('t//k00000', None, 1, unreadable=True)], found)

    @params('5', None, -1, True, 1.5, [])
    def test_version(self, version):
        """A row without a valid version is unreadable."""
        message = page([entry(0), {**entry(1), 'ver': version}, entry(2)])
        for way, found in self.read_all(message):
            with self.subTest(way):
                self.assertEqual(
                    [False, True, False],
                    [row.unreadable for row in found],
                )
                self.assertIsNone(found[1].value)

    @params('yes', 5, [], {})
    def test_mark_of_removal(self, mark):
        """A row with an invalid ``deleted`` is unreadable, not deleted."""
        message = page([{**entry(0), 'deleted': mark}])
        for way, found in self.read_all(message):
            with self.subTest(way):
                self.assertTrue(found[0].unreadable)

    def test_removed(self):
        """A deleted row is absent, not unreadable."""
        gone = {**entry(0), 'deleted': True}
        gone.pop('value')
        self.link.say(page([gone]))
        found = self.rows.changes('t', 0, 1).rows
        self.assertEqual([Row('t//k00000', None, 1)], found)


class TestUnnamedRows(RowsCase):
    """Entries without a valid key."""

    @params(*((each,) for each in UNNAMED))
    def test_left_out(self, unnamed):
        """An entry without a key is skipped; others are read in order."""
        message = page([entry(0), unnamed, entry(1)])
        for way, found in self.read_all(message):
            with self.subTest(way):
                keys = [row.key for row in found]
                self.assertEqual(['t//k00000', 't//k00001'], keys)

    @params(*((each,) for each in UNNAMED))
    def test_single_read(self, unnamed):
        """A row whose entry lacks a key is unreadable, not absent."""
        self.link.say(page([unnamed]))
        found = self.rows.read(['t//k00000'], REPORT)
        self.assertEqual([Row('t//k00000', None, 0, unreadable=True)], found)

    def test_told_once(self):
        """An entry without a key is logged once, however often it is read."""
        self.link.say(page([entry(0), 5]))
        with emitted() as found:
            for _ in range(9):
                self.rows.scan('t//', REPORT)
        self.assertEqual([events.ROW_KEY_UNREADABLE], found)

    def test_page_of_one(self):
        """A page with only an invalid entry does not end a scan."""
        self.link.say(page([entry(0), 5], more=True))
        self.link.say(page([5], more=True))
        self.link.say(page([5, entry(1), entry(2)]))
        found = self.rows.scan('t//', REPORT, limit=2)
        keys = [row.key for row in found]
        self.assertEqual(['t//k00000', 't//k00001'], keys)

    def test_full_page(self):
        """A snapshot that cannot continue raises StoreUnavailable."""
        self.link.say(page([5], more=True))
        with self.assertRaises(StoreUnavailable):
            self.rows.snapshot(['t//'])


class TestSpoiltAnswers(RowsCase):
    """Replies that are invalid as a whole."""

    @params(*SPOILT_FRAMES)
    def test_read(self, raw):
        """A read of an invalid reply raises StoreUnavailable."""
        self.link.answers = [scripted_link.PlatformAnswer(200, raw)]
        for read in (
            lambda: self.rows.scan('t//', REPORT),
            lambda: self.rows.read(['t//a'], REPORT),
            lambda: self.rows.snapshot(['t//']),
        ):
            with self.assertRaises(StoreUnavailable):
                read()

    @params(*SPOILT_FRAMES[:9])
    def test_changes(self, raw):
        """A watch with an invalid reply raises StoreUnavailable."""
        self.link.answers = [scripted_link.PlatformAnswer(200, raw)]
        with self.assertRaises(StoreUnavailable):
            self.rows.changes('t', 0, 1)

    @params((200, b'{}'), (200, b'{"ver":"x"}'), (412, b'{"rows":5}'))
    def test_write(self, status, raw):
        """A write with an invalid reply raises WriteUnknown."""
        self.link.answers = [scripted_link.PlatformAnswer(status, raw)]
        with self.assertRaises(WriteUnknown):
            self.rows.transact([], [], REPORT)

    def test_no_time(self):
        """A reply without the store's time does not set the clock."""
        message = page([entry(0)])
        self.link.say(message)
        self.rows.scan('t//', REPORT)
        message.pop('now_ms')
        self.link.answers = []
        self.link.say(message)
        self.rows.scan('t//', REPORT)
        self.assertEqual(5, self.rows._store_clock.now_ms())

    def test_all_are_typed(self):
        """An invalid entry raises no error but those of this project."""
        odd = (None, True, -1, 1 << 80, 1.5, '', '\0', [], {}, packed({}))
        for field in entry(0):
            for value in odd:
                raw = json.dumps(page([{**entry(0), field: value}]))
                answer = scripted_link.PlatformAnswer(200, raw.encode())
                self.link.answers = [answer]
                try:
                    self.rows.scan('t//', REPORT)
                except CactusridgeError as exc:
                    self.fail(f'{field}={value!r}: {exc!r}')

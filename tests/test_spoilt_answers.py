"""Invalid replies of the table service."""

import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.errors import StoreUnavailable
from cactusridge.store.http_table import HttpTable
from cactusridge.store.table import (
    Condition,
    ConditionFailed,
    Priority,
    Row,
)
from tests.emitted import emitted
from tests.scripted_link import ScriptedLink

REPORT = Priority.report


class TestSpoiltAnswers(unittest.TestCase):
    """Invalid rows in replies of this project's own table protocol."""

    def setUp(self):
        """Create a table over a link with scripted replies."""
        self.link = ScriptedLink()
        self.table = HttpTable(self.link)

    @params(
        (['b', 5, 2], 2),
        (['b', [1], 2], 2),
        (['b', 'text', 2], 2),
        (['b', {}, '2'], 0),
        (['b', {}, -2], 0),
        (['b', {}, True], 0),
        (['b', {}], 0),
        (['b', {}, 2, True], 0),
        (['b'], 0),
    )
    def test_row(self, entry, version):
        """An invalid row is unreadable, and the others are returned."""
        self.link.say({'rows': [['a', {'x': 1}, 1], entry, ['c', None, 0]]})
        wanted = [
            Row('a', {'x': 1}, 1),
            Row('b', None, version, unreadable=True),
            Row('c', None, 0),
        ]
        self.assertEqual(wanted, self.table.read(['a', 'b', 'c'], REPORT))
        self.assertEqual(wanted, self.table.scan('', REPORT))
        self.link.answers[0] = self.link.answers[0]._replace(status=409)
        with self.assertRaises(ConditionFailed) as caught:
            self.table.transact([Condition('b', 1)], [], REPORT)
        self.assertEqual(wanted, list(caught.exception.rows.values()))

    @params(5, None, [], [5, {}, 1], {}, 'b')
    def test_unnamed(self, entry):
        """A row is unreadable, not absent, if the reply lacks its key."""
        self.link.say({'rows': [['a', {'x': 1}, 1], entry]})
        wanted = [
            Row('a', {'x': 1}, 1),
            Row('b', None, 0, unreadable=True),
        ]
        with emitted() as found:
            self.assertEqual(wanted, self.table.read(['a', 'b'], REPORT))
        self.assertEqual([events.ROW_KEY_UNREADABLE], found)
        self.assertEqual(wanted[:1], self.table.scan('', REPORT))

    @params({}, {'rows': 5}, [], None)
    def test_answer(self, message):
        """A reply without rows raises StoreUnavailable."""
        self.link.say(message)
        with self.assertRaises(StoreUnavailable):
            self.table.scan('', REPORT)

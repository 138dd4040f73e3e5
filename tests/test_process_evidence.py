"""Tests of which connections are known to lead to listed processes."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.fleet.process_evidence import ProcessEvidence

KEY = 'i-1@5'
LIST, END, CONFIRMED = 'list', 'end', 'confirmed'
REPLACED = 'replaced'


class TestProcessEvidence(unittest.TestCase):
    """A connection that was established at 10 s, looked at later."""

    @params(
        ('no list', (), 10, False),
        ('list since', ((11, LIST),), 60, True),
        ('list just before', ((9, LIST),), 10.5, True),
        ('list long before', ((9, LIST),), 11, False),
        ('another ended since', ((9, LIST), (10.2, END)), 10.5, True),
        ('another ended since, list old', ((9, LIST), (10.2, END)), 11, False),
        ('ended before, then a list', ((8, END), (9, LIST)), 10.1, False),
        ('ended before, list since', ((8, END), (10.4, LIST)), 10.5, False),
        ('ended long before', ((5, END), (9, LIST)), 10.5, True),
        ('ended, settled', ((8, END), (10.6, LIST)), 60, True),
        ('ended, confirmed', ((8, END), (10.1, CONFIRMED)), 60, True),
        ('replaced', ((10.1, REPLACED), (10.1, LIST)), 10.2, False),
        ('confirmed before', ((8, END), (9.9, CONFIRMED)), 10.1, False),
    )
    def test_certain(self, _, steps, at_s, certain):
        """It is certain if no other process can be at its end."""
        clock = ManualClock()
        evidence = ProcessEvidence(clock)
        record = {
            LIST: evidence.record_list,
            REPLACED: lambda: evidence.incarnation_ended(KEY),
            END: lambda: evidence.record_end(KEY),
            CONFIRMED: lambda: evidence.record_confirmed(
                KEY, clock.monotonic()
            ),
        }
        for step_s, step in steps:
            clock.advance(step_s - clock.monotonic())
            record[step]()
        clock.advance(at_s - clock.monotonic())
        self.assertEqual(certain, evidence.is_certain(KEY, 10))

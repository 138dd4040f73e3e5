"""The log shows how long each step of a start took.

Without these lines a slow recovery shows only as a sum, and not whether the
imports, the store, the members or the jobs took the time.
"""

import json
import unittest
from unittest import mock

from cactusridge import events, logs
from cactusridge.clock import ManualClock
from cactusridge.start_trace import StartStep, StartTrace
from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

SERVING = (
    'imports_s',
    'listening_s',
    'settings_s',
    'replicas_s',
    'members_s',
    'ready_s',
    'answer_s',
)
JOBS = ('members_s', 'heads_s', 'takeover_s', 'item_s')


class TestStartTrace(unittest.TestCase):
    """The lines of a trace by a manual clock."""

    def setUp(self):
        """Trace a process that started at second 10."""
        self.clock = ManualClock(10)
        self.trace = StartTrace(self.clock)
        self.trace.begin(10)

    def mark(self, *steps):
        """Mark steps one second apart; return the calls of ``emit``."""
        with mock.patch.object(logs, 'emit') as emit:
            for step in steps:
                self.clock.advance(1)
                self.trace.mark(step)
        return emit.call_args_list

    def test_first_answer(self):
        """The line has the first end of each step, and None for open ones."""
        calls = self.mark(
            StartStep.imports,
            StartStep.settings,
            StartStep.settings,
            StartStep.answer,
            StartStep.answer,
        )
        self.assertEqual(1, len(calls))
        self.assertEqual((events.SERVING_STARTED,), calls[0].args)
        found = calls[0].kwargs
        self.assertEqual(1, found['imports_s'])
        self.assertEqual(2, found['settings_s'])
        self.assertEqual(4, found['answer_s'])
        self.assertIsNone(found['members_s'])

    def test_first_item(self):
        """Only an item after a takeover ends the trace of the jobs."""
        self.assertEqual([], self.mark(StartStep.item))
        calls = self.mark(StartStep.takeover, StartStep.item)
        self.assertEqual((events.JOBS_RESUMED,), calls[0].args)
        self.assertEqual(2, calls[0].kwargs['takeover_s'])
        self.assertEqual(3, calls[0].kwargs['item_s'])

    def test_not_begun(self):
        """Code that runs outside an entry process logs no start."""
        self.trace = StartTrace(self.clock)
        self.assertEqual([], self.mark(StartStep.answer))


class TestStartLines(MachineCase):
    """The lines of real processes."""

    entries = ('one',)

    def line(self, event):
        """Return the fields of the last line of an event, or None."""
        lines = self.site.entries['one'].log.read_text().splitlines()
        found = [json.loads(each) for each in lines if f'"{event}"' in each]
        return found[-1] if found else None

    def test_lines(self):
        """A start, a restart and its first item leave all steps in the log.

        An entry is ready, and may answer, before it has read the members.
        """
        wait_for('it is a member', lambda: self.line('member_found'))
        self.site.call('one', 'POST', '/on/', b'1', request_headers('r1'))
        found = wait_for('the line', lambda: self.line('serving_started'))
        ends = [found[name] for name in SERVING]
        self.assertNotIn(None, ends)
        self.assertEqual(found['answer_s'], max(ends))
        self.site.submit('one', 'j1', ['200 0.05'] * 3)
        wait_for('its items run', lambda: self.line('item_started'))
        self.assertIsNone(self.line('jobs_resumed'))
        self.site.entries['one'].kill()
        self.site.start_entry('one')
        found = wait_for('the line', lambda: self.line('jobs_resumed'))
        ends = [found[name] for name in JOBS]
        self.assertNotIn(None, ends)
        self.assertEqual(found['item_s'], max(ends))

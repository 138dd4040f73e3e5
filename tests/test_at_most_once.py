"""A non-idempotent request runs at most once and is reported truly."""

from nose2.tools import params

from cactusridge.http import frames
from cactusridge.orders import RunOrder, WorkClass
from standins.faults import Fault, FaultKind
from standins.local_fleet import DEFTER
from tests.rig_case import RigCase

REGISTERS = '/services/defter/registers/7'
ONCE = 2000
BREAKS = (
    # fault at the service, status, executions, not_run
    (FaultKind.cut, 502, 0, None),
    (FaultKind.lose_answer, 502, 1, None),
)


class TestAtMostOnce(RigCase):
    """Connections break at each point of a non-idempotent call."""

    def runs(self, body: str) -> int:
        """Return how often the service executed a request with ``body``."""
        calls = self.rig.plain.subject.calls
        return sum(call['body'] == f'"{body}"' for call in calls)

    def test_calls_get_through(self):
        """An undisturbed call runs once."""
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'a')
        self.assertEqual((200, 1), (answer.status, self.runs('a')))

    @params(*BREAKS)
    def test_service_breaks_off(self, kind, status, runs, not_run):
        """The service closes the connection before or after the run."""
        self.rig.plain.subject.faults.add(Fault(kind, '/registers', 1))
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'b')
        self.assertEqual(status, answer.status)
        self.assertEqual(not_run, answer.body['error']['not_run'])
        self.assertEqual(runs, self.runs('b'))

    def test_repeatable_call_goes_again(self):
        """A repeatable call is retried after the same failure."""
        cut = Fault(FaultKind.lose_answer, 'GET', 1)
        self.rig.plain.subject.faults.add(cut)
        path = '/services/defter/pages/1'
        answer = self.rig.call(
            self.rig.entries[0],
            path,
            'c',
            method='GET',
        )
        self.assertEqual((200, 2), (answer.status, self.runs('c')))

    def test_link_refuses(self):
        """An order that did not reach a sidecar is sent to another."""
        for link in self.rig.links(self.rig.sidecars[0].address):
            link.stop()
        answers = [
            self.rig.call(self.rig.entries[0], REGISTERS, f'd{number}')
            for number in range(6)
        ]
        self.assertEqual({200}, {answer.status for answer in answers})
        runs = [self.runs(f'd{number}') for number in range(6)]
        self.assertEqual({1}, set(runs))

    def test_answer_lost_between_sidecar_and_entry(self):
        """The sidecar reports that the order ran, and so does the error."""
        self.only_first_sidecar()
        slow = Fault(FaultKind.slow, '/registers', 1, 0.6)
        self.rig.plain.subject.faults.add(slow)
        link = self.rig.links(self.rig.sidecars[0].address)[0]
        self.rig.later(0.3, link.shut_down_connections)
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'e')
        self.assertEqual(502, answer.status)
        self.assertFalse(answer.body['error']['not_run'])
        self.assertEqual(1, self.runs('e'))

    def test_order_lost_on_its_way(self):
        """An order lost on a silent connection is retried and runs once."""
        links = [
            link
            for sidecar in self.rig.sidecars
            for link in self.rig.links(sidecar.address)
        ]
        # Open the connections first: only open ones can become silent.
        self.rig.call(self.rig.entries[0], REGISTERS, 'warm')
        for link in links:
            link.stall_connections()
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'f')
        self.assertEqual(200, answer.status)
        self.assertEqual(1, self.runs('f'))

    def test_sidecar_restarts_meanwhile(self):
        """A new incarnation has no record, so the outcome is unknown."""
        self.only_first_sidecar()
        slow = Fault(FaultKind.slow, '/registers', 1, 1)
        self.rig.plain.subject.faults.add(slow)
        self.rig.later(0.3, lambda: self.rig.restart_sidecar(0))
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'g')
        self.assertEqual(502, answer.status)
        self.assertIn(answer.body['error']['not_run'], (None, False))
        self.assertLessEqual(self.runs('g'), 1)

    def test_late_order_is_refused(self):
        """An order for the sidecar's previous incarnation never runs."""
        served = self.rig.sidecars[0]
        order = RunOrder(
            id='late',
            incarnation='the one before',
            service=DEFTER,
            team='demo',
            work=WorkClass.online,
            path='/registers/7',
            deadline_s=5,
            repeatable=False,
        )
        parts = self.rig.entries[0].subject.parts
        resp = parts.client.run(served.address, order, b'"late"')
        frame = frames.read_frame(resp)
        self.assertEqual('stale_order', frame.head['error']['code'])
        self.assertTrue(frame.head['error']['not_run'])
        self.assertEqual(0, self.runs('late'))

    def test_restart_is_noticed_at_once(self):
        """A rejection reports the new incarnation, and the order is retried."""
        for served in self.rig.sidecars:
            served.subject.incarnation = 'new'
        answer = self.rig.call(self.rig.entries[0], REGISTERS, 'h')
        self.assertEqual(200, answer.status)
        self.assertEqual(1, self.runs('h'))

    def only_first_sidecar(self) -> None:
        """Remove all sidecars but the first."""
        self.rig.leave_only(0)
        self.rig.wait_ready()

"""End-to-end tests with entry processes, a stand-in store and replicas."""

import contextlib
import signal
from http.client import IncompleteRead

import gevent
from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

EVENTS = 6
WHOLE = ''.join(
    f'id: {number}\ndata: e{number}\n\n' for number in range(1, EVENTS + 1)
)
OUTPUT = '\n'.join(f'e{number}' for number in range(1, EVENTS + 1))


class TestOnline(MachineCase):
    """Online requests, streams among them."""

    entries = ('one',)

    def test_stream(self):
        """A stream is complete, keeps its signature and has a deadline."""
        status, headers, body = self.site.call(
            'one',
            'POST',
            '/on/a%2Fb/?q=%20&q=2',
            f'{EVENTS}'.encode(),
            request_headers('r1'),
        )
        self.assertEqual((200, WHOLE), (status, body.decode()))
        self.assertTrue(headers['X-Response-Signature'].startswith('sig.i-'))
        ran_at = [each for each in self.site.replicas if each.targets][0]
        self.assertEqual(['/on/a%2Fb/?q=%20&q=2'], ran_at.targets)
        left_ms = int(ran_at.request_headers['r1']['X-Request-Deadline'])
        self.assertTrue(3000 < left_ms <= 4000)

    @params(('/again/', 2), ('/on/', 1))
    def test_broken_stream(self, path, runs):
        """A broken stream resumes at another replica only on some routes."""
        # The replicas share the list, so only the first run breaks off.
        breaks = [3]
        for replica in self.site.replicas:
            replica.close_after_events = breaks
        found = None
        with contextlib.suppress(IncompleteRead):
            found = self.site.call(
                'one',
                'POST',
                path,
                f'{EVENTS}'.encode(),
                request_headers('r2'),
            )[2].decode()
        self.assertEqual(WHOLE if runs > 1 else None, found)
        self.assertEqual(runs, self.runs('r2'))

    @params((404, '/none/x'), (404, '/onx'))
    def test_no_route(self, status, target):
        """A request without a matching route is answered with 404."""
        found = self.site.call(
            'one', 'POST', target, b'1', request_headers('r3')
        )
        self.assertEqual(status, found[0])

    def test_spoiled_answer(self):
        """A response to another request is not passed to the caller."""
        for replica in self.site.replicas:
            replica.wrong_request_ids.append('other')
        status, _, body = self.site.call(
            'one',
            'POST',
            '/on/',
            b'1',
            request_headers('r4'),
        )
        self.assertEqual(502, status)
        self.assertNotIn(b'spoiled', body)
        self.assertEqual(1, self.runs('r4'))

    def test_reload(self):
        """SIGHUP does not end the process, even with an invalid file."""
        process = self.site.entries['one']
        process.send(signal.SIGHUP)
        (self.site.folder / 'one.yaml').write_text('role: [')
        process.send(signal.SIGHUP)
        wait_for('both are read', lambda: 'reload_refused' in process.tail())
        found = self.site.call(
            'one', 'POST', '/on/', b'1', request_headers('r7')
        )
        self.assertEqual(200, found[0])

    def test_new_configuration(self):
        """A new version is in force within three seconds; old routes go."""
        self.site.configure(
            [{'name': 'n', 'path_prefix': '/new/', 'kind': 'streaming'}],
        )
        wait_for(
            'the new route',
            lambda: (
                self.site.call(
                    'one', 'POST', '/new/', b'1', request_headers('r5')
                )[0]
                == 200
            ),
            3,
        )
        found = self.site.call(
            'one', 'POST', '/on/', b'1', request_headers('r6')
        )
        self.assertEqual(404, found[0])


class TestJobs(MachineCase):
    """Jobs are accepted once, run once and readable at every entry."""

    def test_job(self):
        """A job is submitted again to another entry and read from both."""
        bodies = [f'{EVENTS}'] * 5 + ['impossible', 'failing']
        self.assertEqual(202, self.site.submit('one', 'j1', bodies))
        self.assertEqual(202, self.site.submit('two', 'j1', bodies))
        self.wait_done('two', 'j1', len(bodies))
        found = self.site.results('one', 'j1')
        self.assertEqual(found, self.site.results('two', 'j1'))
        states = {each['id']: each['state'] for each in found}
        wanted = ['completed'] * 5 + ['dead_letter'] * 2
        self.assertEqual(
            wanted,
            [states[f'j1-{number}'] for number in range(len(bodies))],
        )
        outputs = {each['output'] for each in found[:5]}
        self.assertLessEqual(outputs, {OUTPUT, ''})
        self.assertEqual(2, self.runs('j1-6'))

    def test_body_and_end(self):
        """Item bodies are readable in an open job; an ended job stops."""
        self.site.submit('one', 'j2', ['400 0.05'] * 12)
        status, _, raw = self.site.call('two', 'GET', '/api/items/j2?id=j2-11')
        self.assertEqual((200, b'400 0.05'), (status, raw))
        for _ in range(2):
            ended = self.site.call('two', 'DELETE', '/api/lots/j2')
            self.assertEqual(200, ended[0])
        wait_for(
            'all items stop',
            lambda: not any(each.running for each in self.site.replicas),
            3,
        )
        started = sum(len(each.targets) for each in self.site.replicas)
        gevent.sleep(0.5)
        now = sum(len(each.targets) for each in self.site.replicas)
        self.assertEqual(started, now)
        self.assertEqual(200, self.site.call('one', 'GET', '/api/lots/j2')[0])

    @params('kill', 'stop')
    def test_holder_lost(self, how):
        """Another entry resumes a job from the stored partial outputs."""
        self.site.submit('one', 'j3', ['60 0.05'] * 3)
        wait_for(
            'some output is stored',
            lambda: any(
                place[0] == 'partial' for place in self.site.store.rows
            ),
            5,
        )
        process = self.site.entries['one']
        if how == 'kill':
            process.kill()
        else:
            process.send(signal.SIGTERM)
        listed = self.wait_done('two', 'j3', 3)
        self.assertEqual(3, len(set(listed)))
        resumed = [
            headers.get('Last-Event-Id')
            for each in self.site.replicas
            for headers in each.request_headers.values()
        ]
        self.assertTrue(any(resumed))
        outputs = {each['output'] for each in self.site.results('two', 'j3')}
        self.assertEqual({'\n'.join(f'e{n}' for n in range(1, 61))}, outputs)

    def test_lost_answers(self):
        """A job runs once even if the store loses answers to its writes."""
        self.site.store.faults.extend(['lost after', 'lost after'])
        statuses = [
            self.site.submit(name, 'j4', ['3'] * 4)
            for name in ('one', 'two', 'one')
        ]
        self.assertIn(202, statuses)
        self.assertNotIn(503, statuses)
        listed = self.wait_done('two', 'j4', 4)
        self.assertEqual(4, len(set(listed)))

    def test_yield_to_online(self):
        """Online requests preempt batch items that occupy every slot."""
        self.site.submit('one', 'j5', ['200 0.02'] * 12)
        wait_for(
            'every slot runs batch',
            lambda: sum(each.running for each in self.site.replicas) == 8,
            5,
        )
        calls = [
            gevent.spawn(
                self.site.call,
                'two',
                'POST',
                '/on/',
                b'5',
                request_headers(f'o{number}'),
            )
            for number in range(6)
        ]
        gevent.joinall(calls, timeout=2)
        self.assertEqual([200] * 6, [call.value[0] for call in calls])

"""Invalid input gets a typed error and is never partly accepted."""

import socket

from nose2.tools import params

from tests.rig_calls import ADMIN
from tests.rig_case import FORM, RigCase, job_line, upload_body

CHAT = '/v1/chat/completions'
GOOD = job_line(0, 'x')
BODIES = (
    (b'{', 400, 'bad_request', None),
    (b'[]', 400, 'bad_request', None),
    (b'{"model": 1}', 400, 'bad_request', 'model'),
    (b'{"model": "yazman"}', 400, 'bad_request', 'messages'),
    (b'{"model": "yazman", "messages": 1}', 400, 'bad_request', 'messages'),
    (
        b'{"model": "yazman", "messages": [], "stream": 7}',
        400,
        'bad_request',
        'stream',
    ),
    (b'x' * (9 << 20), 413, 'too_large', None),
)
LINES = (
    ('not json', 'line 2'),
    ('[]', 'line 2'),
    (GOOD, 'line 2, custom_id'),
    (GOOD.replace('id-0', ''), 'line 2, custom_id'),
    (GOOD.replace('POST', 'GET'), 'line 2, method'),
    (GOOD.replace('/v1/chat', '/v2/chat'), 'line 2, url'),
    (GOOD.replace('messages', 'nothing'), 'line 2, body.messages'),
)
PATHS = (
    ('GET', '/nothing', 404),
    ('GET', '/v1/files/../settings', 400),
    ('PATCH', '/v1/batches', 405),
    ('GET', '/admin/settings/teams/UPPER', 400),
    ('GET', f'/{"long" * 600}', 400),
)
TOKENS = (
    ('', 401),
    ('Bearer wrong', 401),
    ('Basic demo', 401),
)


class TestBadInput(RigCase):
    """Invalid requests of callers and operators."""

    sidecars = 1
    entries = 1

    @params(*BODIES)
    def test_bodies(self, raw, status, code, param):
        """A malformed body is refused as not run; the error names the field."""
        answer = self.rig.call(self.rig.entries[0], CHAT, raw)
        error = answer.body['error']
        self.assertEqual(
            (status, code, param, True),
            (answer.status, error['code'], error['param'], error['not_run']),
        )
        self.assertEqual(200, self.rig.chat('still there').status)

    @params(*LINES)
    def test_lines(self, line, place):
        """An invalid line is named in the error, and no file is stored."""
        answer = self.upload(f'{GOOD}\n{line}\n')
        self.assertEqual(400, answer.status)
        self.assertIn(place, answer.body['error']['message'])
        rows = self.rig.platform.table.keys
        self.assertFalse([key for key in rows if key.startswith('files/')])

    @params(*PATHS)
    def test_paths(self, method, path, status):
        """A wrong path or method gets the matching status."""
        answer = self.rig.call(
            self.rig.entries[0],
            path,
            headers=ADMIN,
            method=method,
        )
        self.assertEqual(status, answer.status, answer)

    @params(*TOKENS)
    def test_tokens(self, header, status):
        """A missing token, a wrong one and another scheme are refused."""
        headers = {'Authorization': header}
        for path in (CHAT, '/v1/batches', '/services/defter/x'):
            answer = self.rig.call(
                self.rig.entries[0],
                path,
                {},
                headers,
            )
            self.assertEqual(status, answer.status)

    def test_another_teams_subtree(self):
        """A token gives no access to what belongs to other teams."""
        other = {'Authorization': 'Bearer kalemlik'}
        entry = self.rig.entries[0]
        path = '/admin/settings/teams/demo/deployments/main'
        self.assertEqual(
            403,
            self.rig.call(entry, path, None, other, 'GET').status,
        )
        job = self.submit(['x'])
        found = self.rig.call(entry, f'/v1/batches/{job}', None, other, 'GET')
        self.assertEqual(404, found.status)
        path = '/services/defter/x'
        self.assertEqual(404, self.rig.call(entry, path, {}, other).status)

    def test_internal_paths_want_the_secret(self):
        """Internal paths refuse requests without the internal secret."""
        entry = self.rig.entries[0]
        for path in ('/internal/snapshot', '/internal/status'):
            answer = self.rig.call(entry, path, method='GET')
            self.assertEqual(401, answer.status)
        sidecar = self.rig.sidecars[0]
        for path in ('run', 'probe', 'tombstone', 'settings'):
            answer = self.rig.call(sidecar, f'/internal/{path}', {})
            self.assertEqual(401, answer.status)

    def test_upload_that_is_cut(self):
        """A truncated upload is refused and stores no file."""
        body = upload_body(GOOD)[:-30]
        answer = self.rig.call(self.rig.entries[0], '/v1/files', body, FORM)
        self.assertEqual(400, answer.status)
        rows = self.rig.platform.table.keys
        self.assertFalse([key for key in rows if key.startswith('files/')])

    def test_slow_sender(self):
        """A caller that stops within its body gets status 408 in time."""
        entry = self.rig.entries[0]
        entry.subject.app.body_timeout_s = 0.2
        with socket.create_connection(entry.address) as sock:
            head = (
                f'POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n'
                'Authorization: Bearer demo\r\n\r\n{'
            )
            sock.sendall(head.encode())
            self.assertIn(b' 408 ', sock.recv(4096))

    def test_wrong_settings(self):
        """Settings are refused with all unknown keys and wrong values named."""
        path = '/teams/demo/deployments/main/services/new'
        answer = self.rig.set(path, {'kind': 'x', 'made_up': 1}, 0)
        message = answer.body['error']['message']
        self.assertEqual(400, answer.status)
        self.assertIn('kind', message)
        self.assertIn('made_up', message)

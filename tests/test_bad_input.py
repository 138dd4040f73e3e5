"""Bad input gets a typed error; nothing is half accepted."""

import json
import socket
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.batch.ingest import Ingest, TooManyItems
from cactusridge.batch.lines import BadLine, parse_line
from cactusridge.clock import ManualClock
from cactusridge.errors import BadRequest, CactusridgeError
from cactusridge.http.frames import read_frame
from cactusridge.orders import parse_order
from cactusridge.settings import paths, schema
from cactusridge.startup.models import BatchSettings
from tests.memory_objects import MemoryObjects
from tests.rig import ADMIN
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
    """What callers and operators may get wrong."""

    sidecars = 1
    entries = 1

    @params(*BODIES)
    def test_bodies(self, raw, status, code, param):
        """A malformed body is refused as not run, naming the field."""
        answer = self.rig.call(self.rig.entries[0], CHAT, raw)
        error = answer.body['error']
        self.assertEqual(
            (status, code, param, True),
            (answer.status, error['code'], error['param'], error['not_run']),
        )
        self.assertEqual(200, self.rig.chat('still there').status)

    @params(*LINES)
    def test_lines(self, line, place):
        """A line that is no request is named; no file is accepted."""
        answer = self.upload(f'{GOOD}\n{line}\n')
        self.assertEqual(400, answer.status)
        self.assertIn(place, answer.body['error']['message'])
        rows = self.rig.platform.table.keys
        self.assertFalse([key for key in rows if key.startswith('files/')])

    @params(*PATHS)
    def test_paths(self, method, path, status):
        """A wrong path or method is named."""
        answer = self.rig.call(
            self.rig.entries[0],
            path,
            headers=ADMIN,
            method=method,
        )
        self.assertEqual(status, answer.status, answer)

    @params(*TOKENS)
    def test_tokens(self, header, status):
        """No token, a wrong one and another scheme are refused."""
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
        """A token opens its own team's settings, jobs and services only."""
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
        """A caller's token opens no internal path."""
        entry = self.rig.entries[0]
        for path in ('/internal/snapshot', '/internal/status'):
            answer = self.rig.call(entry, path, method='GET')
            self.assertEqual(401, answer.status)
        sidecar = self.rig.sidecars[0]
        for path in ('run', 'probe', 'tombstone', 'settings'):
            answer = self.rig.call(sidecar, f'/internal/{path}', {})
            self.assertEqual(401, answer.status)

    def test_upload_that_is_cut(self):
        """A cut upload leaves nothing behind."""
        body = upload_body(GOOD)[:-30]
        answer = self.rig.call(self.rig.entries[0], '/v1/files', body, FORM)
        self.assertEqual(400, answer.status)
        rows = self.rig.platform.table.keys
        self.assertFalse([key for key in rows if key.startswith('files/')])

    def test_slow_sender(self):
        """A sender that stops in the middle is told so in time."""
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
        """Unknown keys and wrong values are refused, all named."""
        path = '/teams/demo/deployments/main/services/new'
        answer = self.rig.set(path, {'kind': 'x', 'made_up': 1}, 0)
        message = answer.body['error']['message']
        self.assertEqual(400, answer.status)
        self.assertIn('kind', message)
        self.assertIn('made_up', message)


class TestParsers(unittest.TestCase):
    """Whatever comes, a parser answers with its own error."""

    def test_too_many_items(self):
        """The item over the limit is named by its line."""
        cfg = BatchSettings(max_items=3)
        ingest = Ingest(cfg, MemoryObjects(), ManualClock())
        lines = [job_line(number, 'x') for number in range(4)]
        with self.assertRaisesRegex(TooManyItems, 'line 4'):
            ingest.take(['\n'.join(lines).encode()])

    def test_the_limit_is_that_of_the_letter(self):
        """A job may have 140,000 items."""
        self.assertEqual(140_000, BatchSettings().max_items)

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_lines(self, raw):
        """Arbitrary bytes are a bad line."""
        with self.assertRaises(BadLine):
            parse_line(raw, 1)

    @given(
        st.fixed_dictionaries(
            {},
            optional={
                'custom_id': st.none() | st.text(max_size=3),
                'url': st.sampled_from((CHAT, 1, None)),
                'body': st.none()
                | st.dictionaries(
                    st.sampled_from(('model', 'messages', 'stream')),
                    st.none() | st.text(max_size=2) | st.just([]),
                ),
            },
        ),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_nearly_good_lines(self, message):
        """A line is an item or a bad line, nothing else."""
        raw = json.dumps(message).encode()
        try:
            item = parse_line(raw, 1)
        except BadLine:
            return
        self.assertEqual(message['custom_id'], item.custom_id)

    @given(st.binary(max_size=80))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_orders(self, raw):
        """Arbitrary bytes are no order."""
        with self.assertRaises(BadRequest):
            parse_order(raw)

    @given(st.binary(max_size=80))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_frames(self, raw):
        """Arbitrary bytes are a frame or a truncated reply."""
        try:
            read_frame(Bytes(raw))
        except CactusridgeError:
            return

    @given(st.text(max_size=40))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_paths(self, text):
        """Arbitrary text is no settings path."""
        with self.assertRaises(BadRequest):
            paths.parse(f'/teams/{text}/')

    @given(
        st.sampled_from(tuple(paths.NodeKind)),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(('kind', 'models', 'tokens', 'objective')),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=6,
        ),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_settings(self, kind, raw):
        """Anything is checked settings or invalid settings."""
        try:
            found = schema.validate(kind, raw)
        except schema.InvalidSettings:
            return
        self.assertIsInstance(found, schema.Strict)


class Bytes:
    """A source of frames over bytes."""

    def __init__(self, raw: bytes) -> None:
        """Read from ``raw``."""
        self.raw = raw

    def readline(self, sep: bytes) -> bytes:
        """Return up to ``sep``."""
        line, found, rest = self.raw.partition(sep)
        self.raw = rest
        return line + found if found else b''

    def read(self, length: int) -> bytes:
        """Return up to ``length`` bytes."""
        part = self.raw[:length]
        self.raw = self.raw[length:]
        return part

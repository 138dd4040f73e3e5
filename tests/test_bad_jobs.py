"""Statuses of invalid requests and jobs at entries on the machines."""

import json

from nose2.tools import params

from tests.machine_case import MachineCase, request_headers


class TestBadInput(MachineCase):
    """Statuses of invalid requests."""

    entries = ('one',)

    @params(
        (400, b'no json'),
        (400, b'{"items":[]}'),
        (400, b'{"items":[{"id":"a"}]}'),
        (413, b'x' * (1 << 21)),
    )
    def test_bad_job(self, status, raw):
        """An invalid or too large submission is rejected."""
        found = self.site.call(
            'one', 'POST', '/lots/x', raw, request_headers('j6')
        )
        self.assertEqual(status, found[0])

    @params(
        ('id', {'id': 'a b'}),
        ('id', {'id': 'ş'}),
        ('id', {'id': ''}),
        ('path', {'path': '/lots/a b'}),
        ('path', {'path': '/lots/ş'}),
        ('path', {'path': 'lots/a'}),
        ('path', {'path': '/lots/\0'}),
        ('headers.X-Ş', {'headers': {'X-Ş': '1'}}),
        ('headers.a b', {'headers': {'a b': '1'}}),
        ('headers.', {'headers': {'': '1'}}),
        ('headers.X-A', {'headers': {'X-A': 'ş'}}),
        ('headers.X-A', {'headers': {'X-A': '1\r\nX-B: 2'}}),
        ('headers.X-A', {'headers': {'X-A': '\x00'}}),
    )
    def test_unsendable_item(self, field, changes):
        """A job with an item that no request can carry is refused whole.

        It was accepted, and the item was claimed again and again at once.
        """
        sound = {'id': 'i', 'path': '/lots/1', 'headers': {}, 'body': 'MQ=='}
        items = [{**sound, 'id': 'first'}, {**sound, **changes}]
        status, _, raw = self.site.call(
            'one',
            'POST',
            '/lots/x',
            json.dumps({'items': items}).encode(),
            request_headers('j7'),
        )
        self.assertEqual(400, status)
        found = json.loads(raw)['error']
        self.assertEqual(f'items.1.{field}', found['param'])

    def test_sendable_item(self):
        """Each byte that a header may have is sent, and the item runs."""
        text = ''.join(map(chr, (9, *range(32, 127), *range(128, 256))))
        item = {
            'id': "i!#$%&'*+-.^_`|~",
            'path': '/lots/%C5%9E?q=ö&[x]',
            'headers': {'X-A': f'a{text}b'},
            'body': 'Mg==',
        }
        raw = json.dumps({'items': [item]}).encode()
        headers = request_headers('j8')
        found = self.site.call('one', 'POST', '/lots/x', raw, headers)
        self.assertEqual(202, found[0])
        self.wait_done('one', 'j8', 1)
        self.assertEqual(1, self.runs(item['id']))

    @params(
        (404, 'GET', '/api/lots/none', {}),
        (404, 'DELETE', '/api/lots/none', {}),
        (400, 'GET', '/api/lots/none?after=x', {}),
        (431, 'POST', '/on/', {'X-Big': 'b' * 9000}),
    )
    def test_bad_call(self, status, method, target, headers):
        """Unknown jobs, invalid numbers and large headers are rejected."""
        body = b'1' if method == 'POST' else None
        found = self.site.call('one', method, target, body, headers)
        self.assertEqual(status, found[0])
        self.assertIn('error', json.loads(found[2]))

"""End-to-end checks over real processes, with the checks of the demo."""

import io

from openai import NotFoundError

from demo.check import run_check
from tests.fleet_case import DEMO, FleetCase


class TestWholePath(FleetCase):
    """Sends requests of every kind through both entries."""

    def test_every_part_of_the_demo(self):
        """Streamed, unary and plain requests, batch and settings all work."""
        out = io.StringIO()
        self.assertEqual(0, run_check(self.fleet, out), out.getvalue())

    def test_unknown_model_is_the_published_404(self):
        """An unknown model gets OpenAI's ``model_not_found`` error."""
        with self.assertRaises(NotFoundError) as caught:
            self.client('entry-0').chat.completions.create(
                model='nothing',
                messages=[{'role': 'user', 'content': 'x'}],
            )
        self.assertEqual('model_not_found', caught.exception.code)

    def test_usage_and_unknown_fields_pass_through(self):
        """``include_usage`` adds a last chunk with token counts.

        The unknown field of the request does not make it fail.
        """
        chunks = list(
            self.client('entry-1').chat.completions.create(
                model='yazman',
                messages=[{'role': 'user', 'content': 'x'}],
                max_tokens=4,
                stream=True,
                stream_options={'include_usage': True},
                extra_body={'made_up': 1},
            ),
        )
        self.assertEqual(4, chunks[-1].usage.completion_tokens)

    def test_models_are_listed(self):
        """Each entry lists the models that the team may call."""
        for name in ('entry-0', 'entry-1'):
            listed = self.client(name).models.list()
            self.assertEqual(['yazman'], [each.id for each in listed])

    def test_plain_call_keeps_method_query_and_headers(self):
        """A plain call keeps its method, path, query and headers."""
        status, reply = self.fleet.call(
            'entry-1',
            '/services/defter/a%20b?c=d%26e',
            {'f': 1},
            {**DEMO, 'X-Line': '7'},
            'PUT',
        )
        self.assertEqual(200, status)
        self.assertEqual(
            ('PUT', '/a b', 'c=d%26e', '7'),
            (
                reply['method'],
                reply['path'],
                reply['query'],
                reply['headers']['x-line'],
            ),
        )

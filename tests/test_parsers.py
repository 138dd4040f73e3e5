"""Whatever comes, a parser answers with its own error."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusridge.batch.ingest import Ingest, TooManyItems
from cactusridge.batch.lines import BadLine, parse_line
from cactusridge.clock import ManualClock
from cactusridge.errors import BadRequest, CactusridgeError
from cactusridge.http.frames import read_frame
from cactusridge.orders import parse_order
from cactusridge.settings import paths, schema
from cactusridge.startup.models import BatchSettings
from tests.memory_objects import MemoryObjects
from tests.rig_case import job_line

CHAT = '/v1/chat/completions'


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

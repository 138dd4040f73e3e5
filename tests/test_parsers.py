"""Parsers raise only their own errors for arbitrary input."""

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
    """Parsers raise only their own errors for arbitrary input."""

    def test_too_many_items(self):
        """The error names the line of the first item over the limit."""
        cfg = BatchSettings(max_items=3)
        ingest = Ingest(cfg, MemoryObjects(), ManualClock())
        lines = [job_line(number, 'x') for number in range(4)]
        with self.assertRaisesRegex(TooManyItems, 'line 4'):
            ingest.take(['\n'.join(lines).encode()])

    def test_the_limit_is_that_of_the_letter(self):
        """The default limit is the required 140,000 items per job."""
        self.assertEqual(140_000, BatchSettings().max_items)

    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    @settings(max_examples=300)
    def test_lines(self, raw):
        """Arbitrary bytes raise BadLine."""
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
    @settings(max_examples=300)
    def test_nearly_good_lines(self, message):
        """Almost valid lines give an item or raise BadLine."""
        raw = json.dumps(message).encode()
        try:
            item = parse_line(raw, 1)
        except BadLine:
            return
        self.assertEqual(message['custom_id'], item.custom_id)

    @given(st.binary(max_size=80))
    @settings(max_examples=300)
    def test_orders(self, raw):
        """Arbitrary bytes raise BadRequest when parsed as an order."""
        with self.assertRaises(BadRequest):
            parse_order(raw)

    @given(st.binary(max_size=80))
    @settings(max_examples=300)
    def test_frames(self, raw):
        """Arbitrary bytes give a frame or raise a CactusridgeError."""
        try:
            read_frame(Bytes(raw))
        except CactusridgeError:
            return

    @given(st.text(max_size=40))
    @settings(max_examples=300)
    def test_paths(self, text):
        """Arbitrary text in a settings path raises BadRequest."""
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
    @settings(max_examples=300)
    def test_settings(self, kind, raw):
        """Arbitrary JSON gives validated settings or InvalidSettings."""
        try:
            found = schema.validate(kind, raw)
        except schema.InvalidSettings:
            return
        self.assertIsInstance(found, schema.Strict)


class Bytes:
    """Stream over bytes with the methods that frames are read by."""

    def __init__(self, raw: bytes) -> None:
        """Read from ``raw``."""
        self.raw = raw

    def readline(self, sep: bytes) -> bytes:
        """Return the bytes up to and including ``sep``, empty without it."""
        line, found, rest = self.raw.partition(sep)
        self.raw = rest
        return line + found if found else b''

    def read(self, length: int) -> bytes:
        """Return at most ``length`` bytes."""
        part = self.raw[:length]
        self.raw = self.raw[length:]
        return part

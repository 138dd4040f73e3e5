"""Valid rows are read unchanged and in order, among any invalid rows.

``CACTUSRIDGE_ROW_EXAMPLES`` sets the number of generated lists.
"""

import os
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cactusridge import wire
from cactusridge.store.link import PlatformAnswer
from cactusridge.store.table import Priority, Row
from tests.scripted_link import (
    SPOILT_VALUES,
    UNNAMED,
    ScriptedLink,
    encoded,
    entry,
    packed,
    page,
    rows_over,
)

EXAMPLES = int(os.environ.get('CACTUSRIDGE_ROW_EXAMPLES', '300'))
MOST_ROWS = 12

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**53), 2**53),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=5),
)
json_values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=3), inner, max_size=3),
    ),
    max_leaves=4,
)
objects = st.dictionaries(st.text(max_size=3), json_values, max_size=3)


def is_object(raw: bytes) -> bool:
    """Return whether ``raw`` is the JSON of an object."""
    try:
        return isinstance(wire.decode(raw), dict)
    except Exception:
        return False


spoilt_values = st.one_of(
    st.sampled_from([value for _, value in SPOILT_VALUES]),
    st.binary(max_size=9).filter(lambda raw: not is_object(raw)).map(encoded),
    json_values.filter(lambda each: not isinstance(each, dict)).map(packed),
    json_values.filter(lambda each: not isinstance(each, str)),
    st.text(st.characters(codec='utf-8', exclude_characters='='), max_size=3),
)
kinds = st.one_of(
    st.tuples(st.just('sound'), objects),
    st.tuples(st.just('spoilt'), spoilt_values),
    st.tuples(st.just('unnamed'), st.sampled_from(UNNAMED)),
)


class TestRowProperty(unittest.TestCase):
    """Generated lists of valid and invalid rows."""

    @settings(
        max_examples=EXAMPLES,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(kinds, max_size=MOST_ROWS))
    def test_read(self, drawn):
        """Invalid rows have a version but no value; valid rows have both."""
        entries, wanted = [], []
        for number, (kind, value) in enumerate(drawn):
            if kind == 'unnamed':
                entries.append(value)
                continue
            sound = kind == 'sound'
            shown = packed(value) if sound else value
            entries.append({**entry(number), 'value': shown})
            held = value if sound else None
            key = f't//k{number:05}'
            wanted.append(Row(key, held, number + 1, not sound))
        link = ScriptedLink()
        link.answers = [PlatformAnswer(200, wire.encode(page(entries)))]
        rows = rows_over(link)
        self.assertEqual(wanted, rows.scan('t//', Priority.report))
        self.assertEqual(wanted, rows.snapshot(['t//']).rows)
        self.assertEqual(wanted, rows.changes('t', 0, 1).rows)

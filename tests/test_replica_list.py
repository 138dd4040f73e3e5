"""Compares the reader of the replica list with a simple model of it."""

import os
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from standins.machines.corrupt_entries import CORRUPTIONS
from tests import list_play
from tests.naive_list import Entry

# Generated examples; LIST_EXAMPLES=100000 makes a long run of 100,000.
EXAMPLES = int(os.environ.get('LIST_EXAMPLES', '300'))
IDS = ('a', 'b', 'c')
# Spoiled entries that are unreadable regardless of the other entries.
ALWAYS_UNREADABLE = tuple(set(CORRUPTIONS) - {'no born', 'service not named'})

ids = st.sampled_from(IDS)
entries = st.builds(
    Entry,
    st.one_of(st.none(), st.integers(1, 5)),
    st.sampled_from(('ready', 'ready', 'draining')),
    st.integers(1, 3),
)
spoiled = st.sampled_from(sorted(ALWAYS_UNREADABLE))
writes = st.tuples(
    st.just('write'),
    ids,
    st.one_of(entries, entries, entries, spoiled, st.none()),
)
# Writes to the store, and deliveries to the reader. ``feed`` delivers the
# changes since the last delivery, ``whole`` the complete list; ``late``
# delivers an old row again, and ``away`` is an outage that loses the pending
# changes.
steps = st.lists(
    st.one_of(
        writes,
        writes,
        writes,
        st.just(('feed',)),
        st.just(('feed',)),
        st.just(('whole',)),
        st.tuples(st.just('late'), st.integers(0, 20)),
        st.just(('away',)),
        st.tuples(st.just('wait'), st.sampled_from((0.5, 1, 2, 3))),
    ),
    # Shorter sequences rarely have two incarnations of one id.
    min_size=12,
    max_size=40,
)


class TestReplicaList(unittest.TestCase):
    """Entries, incarnations, late rows, outages and complete reads."""

    @settings(max_examples=EXAMPLES)
    @example([('write', 'a', Entry(1, 'ready', 1)), ('feed',), ('away',)])
    @given(steps)
    def test_as_a_naive_reader(self, todo):
        """The reader and the model always select the same replicas."""
        list_play.Play().play(todo)

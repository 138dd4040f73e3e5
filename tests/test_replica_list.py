"""The list of replicas against a naive reader of the same."""

import os
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from standins.machines.spoiled import SPOILED
from tests import list_play
from tests.naive_list import Entry

# 100,000 by hand: LIST_EXAMPLES=100000.
EXAMPLES = int(os.environ.get('LIST_EXAMPLES', '300'))
IDS = ('a', 'b', 'c')
# Unreadable whatever else the list holds.
FOREIGN = tuple(set(SPOILED) - {'no born', 'service not named'})

ids = st.sampled_from(IDS)
entries = st.builds(
    Entry,
    st.one_of(st.none(), st.integers(1, 5)),
    st.sampled_from(('ready', 'ready', 'draining')),
    st.integers(1, 3),
)
spoiled = st.sampled_from(sorted(FOREIGN))
writes = st.tuples(
    st.just('write'),
    ids,
    st.one_of(entries, entries, entries, spoiled, st.none()),
)
# What the store does and what the reader hears of it. ``feed`` brings what
# has changed since the last reading, ``whole`` all there is; ``late`` brings
# an old row once more, ``away`` loses the changes of an outage.
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
    # Shorter ones hardly ever have two lives of one id.
    min_size=12,
    max_size=40,
)


class TestReplicaList(unittest.TestCase):
    """Entries, lives, orders of arrival, gaps and whole readings."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @example([('write', 'a', Entry(1, 'ready', 1)), ('feed',), ('away',)])
    @given(steps)
    def test_as_a_naive_reader(self, todo):
        """Whatever happens, the same replicas are in choice."""
        list_play.Play().play(todo)

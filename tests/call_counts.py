"""Counts the function calls of a piece of code.

The number is the same on every machine and under every load.
"""

import sys
from collections import Counter


def calls_once(function):
    """Return how many calls ``function`` makes, with resumed generators."""
    seen = Counter()

    def count(_frame, event, _arg):
        seen[event] += 1

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return seen['call'] + seen['c_call']


def calls_of(function):
    """Return how many calls the second call of ``function`` makes."""
    function()
    return calls_once(function)

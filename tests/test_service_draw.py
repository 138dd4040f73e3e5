"""Tests of routes that are split between services."""

import random
import unittest

from nose2.tools import params

from cactusridge.dispatch.catalog import ServiceShare
from cactusridge.dispatch.service_draw import draw_service
from cactusridge.errors import NoReplica
from tests.config_case import ConfigCase, each_route, request, split
from tests.waiting_calls import ROUTE

DRAWS = 300
BODY = b'1 0.01'
EXPECTED = (
    ((1,), {'s0'}),
    ((0, 2), {'s1'}),
    ((1, 0, 1), {'s0', 's2'}),
)


def drawn(*weights: float) -> list[str]:
    """Return the services drawn for a route with these weights."""
    shares = tuple(
        ServiceShare(f's{number}', weight)
        for number, weight in enumerate(weights)
    )
    rng = random.Random(1)
    route = ROUTE._replace(shares=shares)
    return [draw_service(route, rng) for _ in range(DRAWS)]


class TestDraw(unittest.TestCase):
    """The service of a single request."""

    @params(*EXPECTED)
    def test_weights(self, weights, wanted):
        """A service without a weight is never drawn."""
        self.assertEqual(wanted, set(drawn(*weights)))

    def test_in_proportion(self):
        """Services are drawn in the proportion of their weights."""
        count = drawn(9, 1).count('s1')
        self.assertTrue(DRAWS * 0.05 < count < DRAWS * 0.15, count)

    @params((0,), (0, 0))
    def test_none(self, *weights):
        """A route without any weight has no replica."""
        with self.assertRaises(NoReplica):
            drawn(*weights)


class TestWithoutWeight(ConfigCase):
    """A route all of whose services have the weight 0."""

    @params('/on/', '/again/', '/safe/', '/plain/')
    def test_refused(self, target):
        """The request is refused, not answered with an error of the entry."""
        self.configure(split(0, 0))
        sender = self.sender()
        sender.send(request('none', BODY, target))
        got = sender.read()
        self.assertEqual((503, True), (got.status, got.whole), got)
        self.assertIn('retry-after', got.headers)
        self.configure(each_route())
        sender.send(request('again', BODY, target))
        self.assertEqual(200, sender.read().status)

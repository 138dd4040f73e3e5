"""Each policy of a direct entry can be replaced by its naive version."""

import unittest
from typing import get_args, get_type_hints

import msgspec
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch import policies as online
from cactusridge.dispatch.admission import AdmitAll, InTime
from cactusridge.dispatch.capacity import MeanCapacity
from cactusridge.dispatch.claims import AnnouncedClaims, GrantAllClaims
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.placement import AnyReplica, LeastOnline
from cactusridge.dispatch.queueing import NoQueueing
from cactusridge.dispatch.retry_after import AfterBurst, NextSlot
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.jobs import policies as batch
from cactusridge.jobs.urgency import DueFirst, OnTimeFirst
from cactusridge.organisations.limiter import FixedShares
from cactusridge.organisations.owner_limiter import OwnerLimiter
from cactusridge.organisations.policies import LIMITERS
from cactusridge.peers.cell_rules import ByZone, OneCell
from cactusridge.peers.load import Load
from cactusridge.quarantine.policies import RULES
from cactusridge.quarantine.rules import ByCrashes, NoQuarantine
from cactusridge.queueing.admission_queue import AdmissionQueue
from cactusridge.queueing.policies import QUEUEINGS
from cactusridge.routing.outliers import NoEjection, OutlierEjector
from cactusridge.startup.models import DirectPolicy

# The default class and the naive class of each setting. The handover of
# limits is part of a class and has names in their place.
CHOICES = {
    'placing': (LeastOnline, AnyReplica),
    'admission': (InTime, AdmitAll),
    'returns': (AfterBurst, NextSlot),
    'outliers': (OutlierEjector, NoEjection),
    'items': (OnTimeFirst, DueFirst),
    'claims': (AnnouncedClaims, GrantAllClaims),
    'cells': (ByZone, OneCell),
    'quarantine': (ByCrashes, NoQuarantine),
    'limits': (OwnerLimiter, FixedShares),
    'capacity': (ObservedCapacity, MeanCapacity),
    'queueing': (AdmissionQueue, NoQueueing),
    'limit_handover': ('acknowledged', 'none'),
}


def decisions(names):
    """Return the class of each policy that is built from ``names``."""
    made = online.make_policies(names)
    of_items = batch.make_policies(names)
    found = {
        'placing': made.placing,
        'admission': made.admission,
        'returns': made.returns,
        'outliers': online.make_outliers(names, ManualClock()),
        'items': of_items.urgency,
        'claims': of_items.claims,
        'cells': online.make_cell_rule(names),
        'quarantine': RULES[names.quarantine](),
        'capacity': online.make_capacity(names, FleetView(), ManualClock()),
    }
    classes = {name: type(each) for name, each in found.items()}
    classes['queueing'] = QUEUEINGS[names.queueing]
    classes['limit_handover'] = names.limit_handover
    return {**classes, 'limits': LIMITERS[names.limits]}


class TestPolicies(unittest.TestCase):
    """The start settings select the policies."""

    def test_ours_by_default(self):
        """Without settings all defaults are used; CHOICES has every setting."""
        ours = {name: pair[0] for name, pair in CHOICES.items()}
        self.assertEqual(ours, decisions(DirectPolicy()))
        self.assertEqual(set(ours), set(get_type_hints(DirectPolicy)))

    @params(*CHOICES)
    def test_one_switched_off(self, name):
        """One naive policy is selected, and all others are the defaults."""
        naive = get_args(get_type_hints(DirectPolicy)[name])[1]
        names = msgspec.convert({name: naive}, DirectPolicy)
        expected = {each: pair[0] for each, pair in CHOICES.items()}
        expected[name] = CHOICES[name][1]
        self.assertEqual(expected, decisions(names))


class TestClaimRules(unittest.TestCase):
    """Two entries claim the same slot."""

    def test_one_or_both(self):
        """Announced claims let one entry start; without them both start."""
        loads = {'a': Load(0, 7, 1), 'b': Load(0, 0, 1)}
        kept = [
            AnnouncedClaims().grants(name, 8, 'life', loads) for name in loads
        ]
        self.assertEqual(1, sum(kept))
        self.assertTrue(GrantAllClaims().grants('a', 8, 'life', loads))
        self.assertTrue(GrantAllClaims().grants('b', 8, 'life', loads))

"""Which replicas may take the request of a silent one."""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.replica_choice import ReplicaChoice
from cactusridge.fleet.stream_origin import StreamOrigin
from tests.test_dispatch_decisions import replica

READY = ('a', 'b')
UNBOUND = StreamOrigin('s', '')
BOUND = StreamOrigin('s', 'v1')


class TestOther(unittest.TestCase):
    """Two replicas are ready, of which one is silent."""

    @params(
        # Tried, silent, origin, rejections, may stay: who may take it.
        ('a', 'a', None, 0, True, {'b'}),
        ('ab', 'b', None, 0, False, {'a'}),
        ('ab', 'b', UNBOUND, 0, False, {'a'}),
        ('ab', 'b', BOUND, 0, False, set()),
        ('ab', 'b', None, 1, False, set()),
        ('ab', 'b', None, 1, True, {'b'}),
    )
    def test_request_is_not_offered_to_an_idle_replica(
        self, tried, silent, origin, rejections, may_stay, wanted
    ):
        """A replica that was left before may take the request again."""
        progress = Progress()
        progress.service = 's'
        progress.tried = list(tried)
        progress.origin = origin
        progress.rejections = rejections
        choice = ReplicaChoice(*[mock.Mock() for _ in range(6)])
        ready = {name: replica(name) for name in READY}
        with (
            mock.patch.object(choice, '_ready', return_value=ready),
            mock.patch.object(choice, '_best_among') as best_among,
            mock.patch.object(choice, '_check_wait'),
        ):
            choice.choose_other(
                mock.Mock(), progress, replica(silent), may_stay
            )
        self.assertEqual(wanted, best_among.call_args.args[2])

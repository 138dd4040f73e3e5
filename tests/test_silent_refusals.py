"""A silent replica whose request no other replica takes."""

from nose2.tools import params

from standins.machines.site import ROUTES
from tests.silent_case import SILENCE_S, SILENT_AT, SilentCase

LIMITED = {'name': 'limited', 'api_keys': ['k'], 'rate_per_s': 0.01, 'burst': 1}
KEYS = {'Authorization': 'Bearer k'}


def shut(case, number):
    """Let connections to a replica be refused."""
    case.site.replica_links[number].stop()


def break_off(case, number):
    """Let new connections to a replica be closed at once."""
    case.site.replica_links[number].refusing = True


def fill(case, number):
    """Let a replica refuse all requests as not run."""
    case.site.replicas[number].full = True


class TestNobodyElseTakesIt(SilentCase):
    """Requests that no other replica takes, for several reasons."""

    @params(
        (shut, 'connect_failed', 'no_replica'),
        (break_off, 'refused', 'attempts_used'),
        (fill, 'refused', 'no_replica'),
    )
    def test_second_replica_refuses_the_stream(self, action, *reasons):
        """The stream stays with the replica that was silent."""
        self.plan(
            {SILENT_AT: SILENCE_S},
            lambda replica: action(self, self.others(replica)[0]),
        )
        self.check_whole(self.stream())
        self.check_decided(*reasons, 'went_on')

    @params(
        (shut, 'connect_failed', 'no_replica'),
        (break_off, 'refused', 'attempts_used'),
        (fill, 'refused', 'no_replica'),
    )
    def test_second_replica_refuses_the_request(self, action, *reasons):
        """The answer comes from the replica that was silent."""
        self.plan(
            {0: SILENCE_S},
            lambda replica: action(self, self.others(replica)[0]),
        )
        self.assertEqual((200, b'plain x'), self.plain('/safe/'))
        self.check_decided(*reasons, 'went_on')

    @params({'max_attempts': 1}, {'max_attempts': 2})
    def test_attempts_are_used_up(self, fields):
        """Several silences use up the attempts; the last replica goes on."""
        self.configure(**fields)
        self.plan({3: SILENCE_S, 7: SILENCE_S, 10: SILENCE_S})
        self.check_whole(self.stream())
        self.check_overlap(self.last_id)

    def test_key_is_revoked_in_the_silence(self):
        """The key allows no other send; the run goes on."""
        self.configure([LIMITED])
        self.plan(
            {SILENT_AT: SILENCE_S},
            lambda _: self.site.configure(
                ROUTES, [{**LIMITED, 'api_keys': []}]
            ),
        )
        self.check_whole(self.stream(keys=KEYS))
        self.check_decided('invalid_api_key', 'went_on')

    def test_limit_is_used_up(self):
        """The request that used the limit up itself goes on."""
        self.configure([LIMITED])
        self.plan({SILENT_AT: SILENCE_S})
        self.check_whole(self.stream(keys=KEYS))

    @params('/safe/', '/plain/')
    def test_silence_before_the_head(self, target):
        """Only a request that may be repeated runs a second time."""
        self.plan({0: SILENCE_S})
        self.assertEqual((200, b'plain x'), self.plain(target))
        if target == '/plain/':
            self.assertEqual(1, self.runs(self.last_id))


class TestFewSlots(SilentCase):
    """Requests for which no other slot is free."""

    slots = 1

    def setUp(self):
        """Take the slot of the other replica."""
        super().setUp()
        self.hold_slots(1)

    @params(0.5, SILENCE_S, 1.9)
    def test_stream_is_cut_when_other_slots_are_taken(self, seconds):
        """The stream stays at the replica that was silent."""
        self.plan({SILENT_AT: seconds})
        self.check_whole(self.stream())

    @params(0.5, SILENCE_S, 1.9)
    def test_request_is_ended_when_other_slots_are_taken(self, seconds):
        """The request stays at the replica that was silent."""
        self.plan({0: seconds})
        self.assertEqual((200, b'plain x'), self.plain('/safe/'))

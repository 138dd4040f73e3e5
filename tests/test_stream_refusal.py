"""What is said of a stream that broke before its first event."""

from standins.machines.site import ROUTES
from tests.crash_case import STREAM, CrashCase

MANY = 20


class TestStreamRefusal(CrashCase):
    """Replicas end; nothing has gone out to the caller yet."""

    entries = ('one',)

    def test_stream_that_has_run_is_not_refused_as_not_run(self):
        """A status that promises so would have the caller send it again."""
        self.site.configure({**route, 'max_attempts': MANY} for route in ROUTES)
        self.assertEqual(502, self.bring('/again/1', STREAM))
        self.assertGreater(len(self.crashes()), 1)

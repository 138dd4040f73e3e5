"""The status of a streamed response that broke before its first event."""

from standins.machines.site import ROUTES
from tests.crash_case import STREAM, CrashCase

MAX_ATTEMPTS = 20


class TestStreamRefusal(CrashCase):
    """Replicas crash before the caller has received any byte."""

    entries = ('one',)

    def test_stream_that_has_run_is_not_refused_as_not_run(self):
        """A stream that reached replicas gets status 502.

        A status that means "not run" would make the caller repeat the request.
        """
        self.site.configure(
            {**route, 'max_attempts': MAX_ATTEMPTS} for route in ROUTES
        )
        self.assertEqual(502, self.bring('/again/1', STREAM))
        self.assertGreater(len(self.crashes()), 1)

"""The limits on callers change while they send their requests."""

from tests.config_case import ConfigCase, request

SHORT_IDLE_MS = 600


class TestLimits(ConfigCase):
    """Requests that arrive slowly, with a shorter idle time-out."""

    def test_request_after_a_refused_one(self):
        """After a 408 the next request isn't taken for the late body."""
        self.configure(limits={'idle_timeout_ms': SHORT_IDLE_MS})
        sender = self.sender()
        raw = request('late', b'1 0.01')
        sender.send(raw[:-2])
        got = sender.read()
        self.assertEqual((408, True), (got.status, got.whole))
        sender.send(raw[-2:])
        if got.headers.get('connection') == 'close':
            return
        sender.send(request('next', b'1 0.01'))
        got = sender.read()
        self.assertEqual((200, True), (got.status, got.whole), got)

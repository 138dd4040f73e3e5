"""An exchange between entries that passes things on when told to."""


class Wire:
    """Stands in for the exchange: passes what is sent on when told to."""

    def __init__(self):
        """Begin with nothing sent."""
        self.listeners = {}
        self.sent = []

    def on_message(self, topic, listener):
        """Keep who listens."""
        self.listeners[topic] = listener

    def send_to(self, target, topic, payload):
        """Keep what is sent."""
        self.sent.append((topic, payload))

    def pass_on(self, other):
        """Let another hear what was sent here."""
        while self.sent:
            topic, payload = self.sent.pop(0)
            other.listeners[topic](('127.0.0.1', 9), payload)

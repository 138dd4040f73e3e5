"""A stand-in for the exchange between entries, with delivery on demand."""


class Wire:
    """Keeps sent messages until the test delivers them with ``pass_on``."""

    def __init__(self):
        """Start without listeners and without messages."""
        self.listeners = {}
        self.sent = []

    def on_message(self, topic, listener):
        """Register the listener of a topic."""
        self.listeners[topic] = listener

    def send_to(self, target, topic, payload):
        """Store a message; its target is ignored."""
        self.sent.append((topic, payload))

    def pass_on(self, other):
        """Deliver all stored messages to the listeners of another wire."""
        while self.sent:
            topic, payload = self.sent.pop(0)
            other.listeners[topic](('127.0.0.1', 9), payload)

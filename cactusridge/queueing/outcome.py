"""How the wait of a request ended."""

import enum


class Outcome(enum.StrEnum):
    """How the wait of a request ended; the values are metric labels."""

    # A slot is free, and the request may be sent.
    started = 'started'
    # Its deadline can no longer be met.
    unservable = 'unservable'
    # A bound of the queue was exceeded.
    displaced = 'displaced'
    # The key was revoked, or the route was removed.
    withdrawn = 'withdrawn'
    # The caller closed its connection.
    disconnected = 'disconnected'
    # The process stops.
    stopped = 'stopped'
    # The wait was interrupted from within this process.
    interrupted = 'interrupted'

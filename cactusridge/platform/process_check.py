"""Asks replicas for the start times of their processes."""

import gevent
import msgspec
from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge import events, logs
from cactusridge.dispatch.upstream import ConnectFailed
from cactusridge.fleet.replica import UNKNOWN_START, Replica
from cactusridge.platform.connections import Connections
from cactusridge.platform.reply_parser import ReplyParser
from cactusridge.platform.short_reply import receive_body

METHOD = 'GET'
TARGET = '/api/report'
OK = 200
# Seconds that a replica may take to answer.
ANSWER_TIMEOUT_S = 0.3
ASK_ERRORS = (ConnectFailed, OSError, HTTPParseError, ValueError)


class ProcessReport(msgspec.Struct):
    """The field that is read of what a replica says of itself.

    ``born`` is the Unix time in milliseconds at which its process started.
    """

    born: int = UNKNOWN_START


class ProcessCheck:
    """Finds out whether connections lead to the listed processes."""

    def __init__(self, connections: Connections) -> None:
        """Record what replicas answer in the evidence of ``connections``."""
        self._connections = connections
        self._evidence = connections.evidence
        self._asking: dict[str, gevent.Greenlet] = {}

    def is_certain(self, replica: Replica, sock: socket.socket) -> bool:
        """Return whether ``sock`` is known to lead to ``replica``."""
        connected_at = self._connections.connected_at(sock)
        return self._evidence.is_certain(replica.incarnation, connected_at)

    def confirm(self, replica: Replica, sock: socket.socket) -> bool:
        """Return whether ``sock`` leads to ``replica``; ask if necessary."""
        if self.is_certain(replica, sock):
            return True
        on_its_way = self._asking.get(replica.incarnation)
        if on_its_way is not None:
            on_its_way.join()
        # That one may have been asked before this connection was established.
        if not self.is_certain(replica, sock):
            self.ask(replica).join()
        return self.is_certain(replica, sock)

    def ask(self, replica: Replica) -> gevent.Greenlet:
        """Ask a replica for the start of its process, once at a time."""
        asking = self._asking.get(replica.incarnation)
        if asking is None:
            asking = gevent.spawn(self._ask, replica)
            self._asking[replica.incarnation] = asking
        return asking

    def _ask(self, replica: Replica) -> None:
        started_at_ms = UNKNOWN_START
        asked_at = self._connections.clock.monotonic()
        try:
            started_at_ms = self._started_at_ms(replica)
        except ASK_ERRORS as exc:
            logs.emit(
                events.PROCESS_UNKNOWN, replica=replica.id, error=repr(exc)
            )
        finally:
            self._asking.pop(replica.incarnation)
        is_stated = started_at_ms != UNKNOWN_START
        if is_stated and started_at_ms == replica.started_at_ms:
            self._evidence.record_confirmed(replica.incarnation, asked_at)

    def _started_at_ms(self, replica: Replica) -> int:
        """Return what the replica states, or UNKNOWN_START.

        Raises ConnectFailed, OSError, HTTPParseError, or ValueError for an
        answer of another form.
        """
        with self._connections.connect(replica.address) as sock:
            lines = (f'{METHOD} {TARGET} HTTP/1.1', f'Host: {replica.address}')
            sock.sendall('\r\n'.join((*lines, '', '')).encode('latin-1'))
            parser = ReplyParser(METHOD)
            raw = receive_body(sock, parser, ANSWER_TIMEOUT_S)
        if parser.status != OK:
            raise HTTPParseError(f'the status is {parser.status}')
        return msgspec.json.decode(raw, type=ProcessReport).born

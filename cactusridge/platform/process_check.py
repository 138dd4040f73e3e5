"""Asks replicas for the start times of their processes."""

import time

import gevent
import msgspec
from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge import events, logs
from cactusridge.dispatch.upstream import ConnectFailed
from cactusridge.fleet.replica import UNKNOWN_START, Replica
from cactusridge.http.receive_turns import ReceiveTurns
from cactusridge.platform.connections import Connections
from cactusridge.platform.reply_parser import ReplyParser

METHOD = 'GET'
TARGET = '/api/report'
OK = 200
RECV_BYTES = 4096
# Seconds that a replica may take to answer.
ANSWER_TIMEOUT_S = 0.3
MAX_ANSWER_BYTES = 262_144
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
            raw = _read_answer(sock)
        return msgspec.json.decode(raw, type=ProcessReport).born


def _read_answer(sock: socket.socket) -> bytes:
    """Return the body of a success; raise OSError or HTTPParseError."""
    parser = ReplyParser(METHOD)
    turns = ReceiveTurns()
    end_at = time.monotonic() + ANSWER_TIMEOUT_S
    body = b''
    while not parser.complete:
        sock.settimeout(max(end_at - time.monotonic(), 0))
        received = sock.recv(RECV_BYTES)
        if not received:
            raise ConnectionResetError('connection closed before an answer')
        parser.feed(received)
        turns.record(len(received))
        body += parser.take_body()
        if len(body) > MAX_ANSWER_BYTES:
            raise HTTPParseError('the answer is too long')
    if parser.status != OK:
        raise HTTPParseError(f'the status is {parser.status}')
    return body

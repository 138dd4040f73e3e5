"""Receives a short reply within a short time."""

import time

from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge.http.receive_turns import ReceiveTurns
from cactusridge.platform.reply_parser import ReplyParser

RECV_BYTES = 4096
MAX_BYTES = 262_144


def receive_head(
    sock: socket.socket, parser: ReplyParser, seconds: float
) -> None:
    """Receive at least the head of a reply, within ``seconds`` in all.

    Raises OSError or HTTPParseError.
    """
    end_at = time.monotonic() + seconds
    turns = ReceiveTurns()
    count = 0
    while not parser.head_complete:
        count += _receive(sock, parser, end_at, turns)
        _check_size(count)


def receive_body(
    sock: socket.socket, parser: ReplyParser, seconds: float
) -> bytes:
    """Return the body of a reply that is received within ``seconds`` in all.

    Raises OSError or HTTPParseError.
    """
    end_at = time.monotonic() + seconds
    turns = ReceiveTurns()
    body = b''
    while not parser.complete:
        _receive(sock, parser, end_at, turns)
        body += parser.take_body()
        _check_size(len(body))
    return body


def _receive(
    sock: socket.socket,
    parser: ReplyParser,
    end_at: float,
    turns: ReceiveTurns,
) -> int:
    sock.settimeout(max(end_at - time.monotonic(), 0))
    received = sock.recv(RECV_BYTES)
    if not received:
        raise ConnectionResetError('connection closed before a response')
    parser.feed(received)
    turns.record(len(received))
    return len(received)


def _check_size(count: int) -> None:
    if count > MAX_BYTES:
        raise HTTPParseError(f'the reply has over {MAX_BYTES} bytes')

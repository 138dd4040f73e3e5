"""Messages between entries about an outage of the store."""

from collections.abc import Sequence
from typing import Any

from cactusridge.http.client import parse_address
from cactusridge.organisations.common_outage import StoreReport
from cactusridge.organisations.outage_watch import OutageWatch
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import peer_name
from cactusridge.peers.plain import plain_message

REPORTS_TOPIC = 'limit_store'


class OutageReports:
    """Sends reports of OutageWatch and passes received ones to it."""

    def __init__(self, peers: PeerExchange) -> None:
        """Send and receive through ``peers``."""
        self._peers = peers

    def connect(self, watch: OutageWatch) -> None:
        """Pass received reports on to ``watch``."""
        self._peers.on_message(
            REPORTS_TOPIC,
            lambda peer, raw: watch.receive(
                peer_name(peer), [_report(*each) for each in raw]
            ),
        )

    def send(self, entry: str, reports: Sequence[StoreReport]) -> None:
        """Send reports to one entry."""
        target = parse_address(entry)
        self._peers.send_to(target, REPORTS_TOPIC, plain_message(reports))


def _report(entry: Any, at_ms: Any, has_store: Any) -> StoreReport:
    return StoreReport(str(entry), int(at_ms), bool(has_store))

"""HTTP requests from an entry to sidecars."""

from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from cactusridge import wire
from cactusridge.errors import NoReplica, OutcomeUnknown
from cactusridge.http.client import Address, Clients
from cactusridge.http.secret import SECRET_HEADER
from cactusridge.http.unpaused_time import UnpausedTimeout
from cactusridge.orders import (
    Probe,
    RunOrder,
    SettingsPush,
    SidecarReport,
    TombstoneOrder,
    Verdict,
)
from cactusridge.startup.models import CommonSettings

OK = 200
IO_ERRORS = (OSError, HTTPParseError)


class SidecarClient:
    """Sends orders, probes, settings and tombstones to sidecars.

    All methods that send raise NoReplica if a sidecar is unreachable.
    """

    def __init__(self, cfg: CommonSettings) -> None:
        """Use the time-outs and the internal secret in ``cfg``."""
        self._clients = Clients(cfg.connect_timeout_s, cfg.silence_timeout_s)
        self._timeout_s = cfg.connect_timeout_s + cfg.silence_timeout_s
        self._headers = {SECRET_HEADER: cfg.internal_secret}

    def run(
        self,
        address: Address,
        order: RunOrder,
        body: bytes,
    ) -> HTTPSocketPoolResponse:
        """Send an order and return its reply, whose body holds frames.

        Raises NoReplica if the order was not sent, and OutcomeUnknown if
        the sidecar may have received it.
        """
        line = order.model_dump_json().encode()
        raw = b'\n'.join((line, body))
        try:
            return self._clients.send(
                address,
                '/internal/run',
                raw,
                self._headers,
            )
        except ConnectionRefusedError as exc:
            raise NoReplica(f'{address} refuses connections') from exc
        except IO_ERRORS as exc:
            self.drop(address)
            raise OutcomeUnknown(f'{address}: {exc!r}') from exc

    def probe(self, address: Address, version: int) -> SidecarReport:
        """Probe a sidecar and return its report."""
        message = Probe(settings_version=version).model_dump()
        return self._post(address, '/internal/probe', message)

    def push(
        self,
        address: Address,
        version: int,
        services: dict[str, dict[str, object]],
    ) -> SidecarReport:
        """Send settings and return the report made after they took effect."""
        push = SettingsPush(version=version, services=services)
        return self._post(address, '/internal/settings', push.model_dump())

    def tombstone(self, address: Address, order: TombstoneOrder) -> Verdict:
        """Send a tombstone and return the verdict whether the order ran.

        It goes out on a new connection.
        """
        self.drop(address)
        report = self._post(address, '/internal/tombstone', order.model_dump())
        return Verdict(report.get('verdict', Verdict.unknown))

    def drop(self, address: Address) -> None:
        """Close idle connections to a sidecar."""
        self._clients.drop(address)

    def _post(
        self,
        address: Address,
        path: str,
        message: dict[str, object],
    ) -> SidecarReport:
        limit = UnpausedTimeout(self._timeout_s)
        try:
            with limit:
                status, report = self._clients.post_json(
                    address,
                    path,
                    message,
                    headers=self._headers,
                )
        except IO_ERRORS as exc:
            self.drop(address)
            raise NoReplica(f'{address}: {exc!r}') from exc
        except UnpausedTimeout as exc:
            if exc is not limit:
                raise
            self.drop(address)
            raise NoReplica(f'{address}: {exc.timeout_message(path)}') from exc
        if status != OK:
            raise NoReplica(f'{address}: {wire.encode(report).decode()}')
        return report

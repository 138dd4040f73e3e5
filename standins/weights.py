"""The stand-in of the model weight store, with limited downloads."""

from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.rate import Rate

RETRY_AFTER_S = '1'


class WeightStore:
    """Serves model weights at a rate that all hosts share."""

    def __init__(self, per_s: float) -> None:
        """Allow ``per_s`` downloads a second."""
        self.rate = Rate(per_s)
        self.served: list[str] = []

    def routes(self) -> list[Route]:
        """Return the routes of this store."""
        return [route('GET', '/weights/(?P<name>.+)', self.download)]

    def download(self, req: Req, name: str) -> Reply:
        """Return the weights ``name``, or 429 above the rate limit."""
        if not self.rate.take():
            return Reply(429, [('Retry-After', RETRY_AFTER_S)], [])
        self.served.append(name)
        return json_reply({'name': name})

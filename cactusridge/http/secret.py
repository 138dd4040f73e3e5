"""The shared secret by which processes authenticate to each other."""

import hmac

from cactusridge.errors import Unauthorized
from cactusridge.http.exchange import Req

SECRET_HEADER = 'X-Cactusridge-Internal'


def check_secret(req: Req, wanted: str) -> None:
    """Raise Unauthorized unless the header of ``req`` is ``wanted``."""
    given = req.header(SECRET_HEADER).encode()
    if not hmac.compare_digest(given, wanted.encode()):
        raise Unauthorized('the internal secret is wrong')

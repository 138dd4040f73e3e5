"""Authenticates API tokens and authorises access to settings paths."""

import hmac
from typing import NamedTuple

from cactusridge.errors import Forbidden, Unauthorized
from cactusridge.organisations.keys import bearer_key, key_digest
from cactusridge.settings import paths
from cactusridge.settings.paths import NodeKind
from cactusridge.settings.schema import TokenRole
from cactusridge.settings.tree import SettingsTree

ADMIN_TEAM = ''


class Caller(NamedTuple):
    """The authenticated owner of a token.

    ``team`` is empty for the administrator.
    """

    team: str
    role: TokenRole
    admin: bool = False


class AccessTable:
    """Maps token hashes to callers and follows the settings tree."""

    def __init__(self, tree: SettingsTree, admin_sha256: str) -> None:
        """Read team tokens from ``tree``.

        ``admin_sha256`` is the SHA-256 of the administrator's token, in hex.
        """
        self._tree = tree
        self._admin_sha256 = admin_sha256
        self._callers: dict[str, Caller] = {}
        self._hashes_by_team: dict[str, tuple[str, ...]] = {}
        tree.follow(self._on_change)

    def caller(self, authorization: str) -> Caller:
        """Return the caller that an ``Authorization`` header identifies.

        Raises Unauthorized if the token is missing or unknown.
        """
        token = bearer_key(authorization)
        if token is None:
            raise Unauthorized(
                'expected the header Authorization: Bearer TOKEN'
            )
        token_hash = key_digest(token)
        if hmac.compare_digest(token_hash, self._admin_sha256):
            return Caller(ADMIN_TEAM, TokenRole.operator, admin=True)
        # Callers are indexed by token hash. A client cannot choose the
        # hash byte by byte, so the timing of this lookup does not leak
        # the token.
        found = self._callers.get(token_hash)
        if found is None:
            raise Unauthorized('the token is unknown')
        return found

    def _on_change(self, path: str) -> None:
        node = paths.parse(path)
        if node.kind != NodeKind.team:
            return
        for old in self._hashes_by_team.pop(node.team, ()):
            self._callers.pop(old, None)
        team = self._tree.model(path)
        if team is None:
            return
        self._hashes_by_team[node.team] = tuple(
            token.sha256 for token in team.tokens
        )
        for token in team.tokens:
            self._callers[token.sha256] = Caller(node.team, token.role)


def check_operator(caller: Caller, team: str) -> None:
    """Raise Forbidden unless ``caller`` may operate on ``team``'s settings."""
    if caller.admin:
        return
    if caller.role != TokenRole.operator:
        raise Forbidden('this token may not change settings')
    if caller.team != team:
        raise Forbidden(f'this token gives access to /teams/{caller.team} only')

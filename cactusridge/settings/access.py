"""Who a token belongs to and which paths it opens."""

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
    """The team a token belongs to; the administrator has none."""

    team: str
    role: TokenRole
    admin: bool = False


class AccessTable:
    """Finds the caller behind a token; follows the settings tree."""

    def __init__(self, tree: SettingsTree, admin_sha256: str) -> None:
        """Take teams from ``tree`` and one administrator's token hash."""
        self._tree = tree
        self._admin_sha256 = admin_sha256
        self._callers: dict[str, Caller] = {}
        self._hashes: dict[str, tuple[str, ...]] = {}
        tree.follow(self._on_change)

    def caller(self, authorization: str) -> Caller:
        """Return the caller of an ``Authorization`` header."""
        token = bearer_key(authorization)
        if token is None:
            raise Unauthorized('send Authorization: Bearer TOKEN')
        given = key_digest(token)
        if hmac.compare_digest(given, self._admin_sha256):
            return Caller(ADMIN_TEAM, TokenRole.operator, admin=True)
        # The index is by the hash, which a caller cannot steer byte by
        # byte, so the look-up's timing says nothing about the token.
        found = self._callers.get(given)
        if found is None:
            raise Unauthorized('the token is unknown')
        return found

    def _on_change(self, path: str) -> None:
        node = paths.parse(path)
        if node.kind != NodeKind.team:
            return
        for old in self._hashes.pop(node.team, ()):
            self._callers.pop(old, None)
        team = self._tree.model(path)
        if team is None:
            return
        self._hashes[node.team] = tuple(token.sha256 for token in team.tokens)
        for token in team.tokens:
            self._callers[token.sha256] = Caller(node.team, token.role)


def check_operator(caller: Caller, team: str) -> None:
    """Raise Forbidden unless ``caller`` may change the team's settings."""
    if caller.admin:
        return
    if caller.role != TokenRole.operator:
        raise Forbidden('this token may not change settings')
    if caller.team != team:
        raise Forbidden(f'this token opens /teams/{caller.team} only')

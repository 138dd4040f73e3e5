"""Paths of the settings tree: teams, deployments, services, jobs."""

import enum
import re
from typing import NamedTuple

from cactusridge.errors import BadRequest

NAME = '[a-z0-9][a-z0-9_-]{0,62}'


class NodeKind(enum.StrEnum):
    """The kind of object that a node of the settings tree describes."""

    team = 'team'
    deployment = 'deployment'
    service = 'service'
    job = 'job'


PATTERNS = (
    (NodeKind.team, re.compile(f'/teams/({NAME})')),
    (
        NodeKind.deployment,
        re.compile(f'/teams/({NAME})/deployments/({NAME})'),
    ),
    (
        NodeKind.service,
        re.compile(f'/teams/({NAME})/deployments/({NAME})/services/({NAME})'),
    ),
    (
        NodeKind.job,
        re.compile(f'/teams/({NAME})/deployments/({NAME})/jobs/({NAME})'),
    ),
)


class NodePath(NamedTuple):
    """A parsed settings path: its kind and the names in it."""

    path: str
    kind: NodeKind
    names: tuple[str, ...]

    @property
    def team(self) -> str:
        """Return the team that owns this path."""
        return self.names[0]


def parse(path: str) -> NodePath:
    """Return the parsed ``path``; raise BadRequest if it is invalid."""
    for kind, pattern in PATTERNS:
        found = pattern.fullmatch(path)
        if found:
            return NodePath(path, kind, found.groups())
    raise BadRequest(
        f'{path} is not a settings path; use /teams/TEAM,'
        ' /teams/TEAM/deployments/NAME, …/services/NAME or …/jobs/NAME',
        param='path',
    )

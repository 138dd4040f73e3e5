"""Paths of the settings tree: teams, deployments, services, jobs."""

import enum
import re
from typing import NamedTuple

from cactusridge.errors import BadRequest

NAME = '[a-z0-9][a-z0-9_-]{0,62}'


class NodeKind(enum.StrEnum):
    """What a node of the tree describes."""

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
    """A path, what it describes, and the names in it."""

    path: str
    kind: NodeKind
    names: tuple[str, ...]

    @property
    def team(self) -> str:
        """Return the team that owns this path."""
        return self.names[0]


def parse(path: str) -> NodePath:
    """Return the parts of ``path``; raise BadRequest for no such kind."""
    for kind, pattern in PATTERNS:
        found = pattern.fullmatch(path)
        if found:
            return NodePath(path, kind, found.groups())
    raise BadRequest(
        f'{path} is not a settings path; write /teams/TEAM,'
        ' /teams/TEAM/deployments/NAME, …/services/NAME or …/jobs/NAME',
        param='path',
    )

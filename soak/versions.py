"""Marks of the software version in the output of replicas."""

import re
from collections.abc import Iterable

MARK = re.compile(r'@(v[0-9]+)')
VERSIONS = ('v1', 'v2')


def version_mark(version: str) -> str:
    """Return the mark of a version, none for replicas without versions."""
    return f'@{version}' if version in VERSIONS else ''


def without_marks(text: str) -> str:
    """Return the output without its marks."""
    return MARK.sub('', text)


def versions_in(texts: Iterable[str]) -> set[str]:
    """Return the versions that have made parts of the output."""
    return {each for text in texts for each in MARK.findall(text)}


def other_version(version: str) -> str:
    """Return the version that a replaced replica runs."""
    return VERSIONS[1 - VERSIONS.index(version)]

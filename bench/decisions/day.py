"""Readers of a played day from its report, its log and its sheet.

The users' bench defines the field names of the report and the sheet. Only this
module uses them; other modules use the types below.
"""

import json
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

# A log line in the output of a day: seconds, process name, JSON objects. What a
# process writes at once arrives as one line, and the end may be missing.
LINE = re.compile(r'\s+(-?[0-9.]+) (\S+) (\{.*)$')
DECODER = json.JSONDecoder()
BATCH = 'batch'


class Kind(NamedTuple):
    """A kind of request on the sheet; ``aim_s`` is in seconds."""

    name: str
    batch: bool
    worth: float
    late_worth: float
    aim_s: float


class KindOutcome(NamedTuple):
    """The results of all requests of a kind in a day.

    ``earned`` is the earned share of the worth owed.
    """

    kind: Kind
    owed: int
    late: int
    refused: int
    failed: int
    earned: float


class Line(NamedTuple):
    """One log line; ``at_s`` is in seconds from the start of traffic."""

    at_s: float
    process: str
    event: str
    fields: dict[str, Any]


class Window(NamedTuple):
    """The results of two seconds of a day."""

    from_s: float
    asked: int
    earned: float


class Day(NamedTuple):
    """A played day.

    ``unserved`` counts unserved requests by the end of their last try.
    ``prices`` maps each kind of price to the worth deducted for it.
    """

    worth: float
    whole: float
    worst_windows: float
    broken: bool
    outcomes: list[KindOutcome]
    unserved: dict[str, int]
    prices: dict[str, float]
    processor_s: float
    windows: list[Window]


def read_kinds(sheet: Path) -> dict[str, Kind]:
    """Return the kinds of request on a deployment's sheet."""
    raw = tomllib.loads(_without_head(sheet))
    return {each['name']: _kind(each) for each in raw['classes']}


def read_slots(sheet: Path) -> int:
    """Return the largest number of slots of a replica on the sheet."""
    raw = tomllib.loads(_without_head(sheet))
    return max(each['slots'] for each in raw['services'])


def read_day(report: Path, kinds: dict[str, Kind]) -> Day:
    """Return the day that a report describes."""
    raw = json.loads(report.read_text())
    parts = {name: share for name, _, share in raw['parts']}
    spent = {name: amount for name, amount, _ in raw['prices']}
    return Day(
        worth=raw['G'],
        whole=parts['whole day'],
        worst_windows=parts.get('worst windows', 1),
        broken=bool(raw['breaks']),
        outcomes=[
            _outcome(each, kinds[each['name']])
            for each in raw['classes']
            if each['name'] in kinds
        ],
        unserved={name: count for name, count, *_ in raw['unserved_by']},
        prices={name: worth for name, _, worth in raw['prices'] if worth},
        processor_s=spent['processor seconds'],
        windows=[
            Window(float(each['name']), each['n'], each['worth'])
            for each in raw['windows']
        ],
    )


def read_log(output: Path) -> list[Line]:
    """Return the log lines of all processes in the output of a day."""
    found = (LINE.match(line) for line in output.read_text().splitlines())
    return [
        Line(float(match[1]), match[2], fields.get('event', ''), fields)
        for match in found
        if match
        for fields in _whole_objects(match[3])
    ]


def _without_head(sheet: Path) -> str:
    """Return the text of a sheet from its first setting on."""
    lines = sheet.read_text().splitlines()
    first = next(at for at, line in enumerate(lines) if ' = ' in line)
    return '\n'.join(lines[first:])


def _kind(raw: dict[str, Any]) -> Kind:
    return Kind(
        raw['name'],
        raw['kind'] == BATCH if 'kind' in raw else False,
        raw['worth'],
        raw['late_worth'],
        raw['aim_ms'] / 1000,
    )


def _outcome(raw: dict[str, Any], kind: Kind) -> KindOutcome:
    return KindOutcome(
        kind,
        raw['n'] - raw['not_owed'],
        raw['late'],
        raw['refused'],
        raw['failed'],
        raw['worth'],
    )


def _whole_objects(text: str) -> Iterator[dict[str, Any]]:
    """Yield the JSON objects of a line up to the first incomplete one."""
    rest = text.lstrip()
    while rest.startswith('{'):
        try:
            fields, end = DECODER.raw_decode(rest)
        except json.JSONDecodeError:
            return
        yield fields
        rest = rest[end:].lstrip()

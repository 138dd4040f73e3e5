"""Output as a table, JSON or YAML."""

import abc
import enum
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TextIO

import yaml
from rich.console import Console
from rich.table import Table

WIDE = 200


class OutputFormat(enum.StrEnum):
    """What ``--output`` takes."""

    table = 'table'
    json = 'json'
    yaml = 'yaml'


class Formatter(abc.ABC):
    """Writes rows or one document."""

    @abc.abstractmethod
    def write(self, found: Any, stream: TextIO) -> None:
        """Write ``found``: a list of flat rows, or a document."""


class JsonFormatter(Formatter):
    """Writes JSON for programs."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write indented JSON."""
        json.dump(found, stream, indent=2, ensure_ascii=False)
        stream.write('\n')


class YamlFormatter(Formatter):
    """Writes YAML, as settings are written."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write YAML in block style."""
        yaml.safe_dump(found, stream, sort_keys=False, allow_unicode=True)


class TableFormatter(Formatter):
    """Writes rows in columns, and a document as YAML."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write a table if ``found`` is a list of rows."""
        if not isinstance(found, list):
            YamlFormatter().write(found, stream)
            return
        if not found:
            stream.write('nothing found\n')
            return
        table = Table(*found[0].keys(), box=None)
        for row in found:
            table.add_row(*(_cell(each) for each in row.values()))
        width = None if stream.isatty() else WIDE
        Console(file=stream, width=width).print(table)


FORMATTERS: Mapping[OutputFormat, Formatter] = MappingProxyType(
    {
        OutputFormat.table: TableFormatter(),
        OutputFormat.json: JsonFormatter(),
        OutputFormat.yaml: YamlFormatter(),
    },
)


def _cell(found: Any) -> str:
    if isinstance(found, (list, dict)):
        return json.dumps(found, ensure_ascii=False)
    return '' if found is None else str(found)

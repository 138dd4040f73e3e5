"""Writes output as a table, JSON or YAML."""

import abc
import enum
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TextIO

import yaml
from rich.console import Console
from rich.table import Table

# Table width, in columns, if the output is not a terminal.
NON_TERMINAL_WIDTH = 200


class OutputFormat(enum.StrEnum):
    """The values of the option ``--output``."""

    table = 'table'
    json = 'json'
    yaml = 'yaml'


class Formatter(abc.ABC):
    """Base of the output formats."""

    @abc.abstractmethod
    def write(self, found: Any, stream: TextIO) -> None:
        """Write ``found``, a list of rows or one document, to ``stream``."""


class JsonFormatter(Formatter):
    """Writes indented JSON."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write ``found`` as JSON with a final newline."""
        json.dump(found, stream, indent=2, ensure_ascii=False)
        stream.write('\n')


class YamlFormatter(Formatter):
    """Writes YAML, the format of settings files."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write ``found`` as YAML in block style."""
        yaml.safe_dump(found, stream, sort_keys=False, allow_unicode=True)


class TableFormatter(Formatter):
    """Writes a list of rows as a table, and one document as YAML."""

    def write(self, found: Any, stream: TextIO) -> None:
        """Write a table if ``found`` is a list of rows, else YAML."""
        if not isinstance(found, list):
            YamlFormatter().write(found, stream)
            return
        if not found:
            stream.write('nothing found\n')
            return
        table = Table(*found[0].keys(), box=None)
        for row in found:
            table.add_row(*(_cell(each) for each in row.values()))
        width = None if stream.isatty() else NON_TERMINAL_WIDTH
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

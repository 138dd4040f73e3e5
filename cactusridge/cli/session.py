"""What every command has at hand."""

from typing import Any, NamedTuple

import typer

from cactusridge.cli.api import Api
from cactusridge.environment import Environment
from cactusridge.output.formats import FORMATTERS, OutputFormat


class Session(NamedTuple):
    """Streams, the entry, and how to show what was found."""

    env: Environment
    api: Api
    output: OutputFormat

    def show(self, found: Any) -> None:
        """Write ``found`` in the format asked for."""
        FORMATTERS[self.output].write(found, self.env.stdout)

    def say(self, text: str) -> None:
        """Write one line."""
        self.env.stdout.write(f'{text}\n')


def session_of(ctx: typer.Context) -> Session:
    """Return the session of a command."""
    return ctx.obj

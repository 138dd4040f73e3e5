"""The context that every command uses."""

from typing import Any, NamedTuple

import typer

from cactusridge.cli.api import Api
from cactusridge.environment import Environment
from cactusridge.output.formats import FORMATTERS, OutputFormat


class Session(NamedTuple):
    """The standard streams, the API client and the output format."""

    env: Environment
    api: Api
    output: OutputFormat

    def show(self, found: Any) -> None:
        """Write ``found`` to stdout in the output format."""
        FORMATTERS[self.output].write(found, self.env.stdout)

    def print_line(self, text: str) -> None:
        """Write one line to stdout."""
        self.env.stdout.write(f'{text}\n')


def get_session(ctx: typer.Context) -> Session:
    """Return the session of a command."""
    return ctx.obj

"""The command that shows the load of a service as one entry sees it."""

from typing import Annotated
from urllib.parse import quote

import typer

from cactusridge.cli.api import Api
from cactusridge.cli.session import get_session
from cactusridge.output.formats import OutputFormat

HINT = (
    'check --internal-url: it is metrics_listen of the settings of a running'
    ' direct entry'
)


def show_load(
    ctx: typer.Context,
    service: Annotated[str, typer.Argument(help='The name of a service.')],
    internal_url: Annotated[
        str,
        typer.Option(
            help='The URL of the internal server of a direct entry, with the'
            ' address in metrics_listen of its settings.',
        ),
    ],
) -> None:
    """Show the load of each replica, and the requests that wait at an entry.

    Example: cactusridge show-load yazman --internal-url http://10.0.0.1:8401
    """
    session = get_session(ctx)
    path = f'/load?service={quote(service, safe="")}'
    # The internal server takes no token.
    found = Api(internal_url, '', HINT).call('GET', path)
    if session.output != OutputFormat.table:
        session.show(found)
        return
    session.print_line(f'entry {found["entry"]}, cell {found["cell"]}')
    for each in found['services']:
        session.show(each['replicas'])
        session.print_line('')
        if each['waiting']:
            session.show(each['waiting'])
        else:
            session.print_line('no request waits at this entry')

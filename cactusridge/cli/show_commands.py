"""Commands that show deployments, services, hosts, chats and reports."""

from typing import Annotated, Any

import typer

from cactusridge.cli.session import Session, get_session
from cactusridge.output.burn_page import write_page


def deployments(ctx: typer.Context) -> None:
    """List the deployments that you may see."""
    session = get_session(ctx)
    session.show(_paths(session, 'deployments'))


def services(ctx: typer.Context) -> None:
    """List the services that you may see."""
    session = get_session(ctx)
    session.show(_paths(session, 'services'))


def hosts(ctx: typer.Context) -> None:
    """List the entries and sidecars with their state."""
    session = get_session(ctx)
    found = session.api.call('GET', '/admin/status')
    rows = [
        {
            'role': kind,
            'address': address,
            'zone': process.get('zone'),
            'state': process.get('state', process.get('error')),
            'services': process.get('services', ''),
        }
        for kind in ('entries', 'sidecars')
        for address, process in sorted(found[kind].items())
    ]
    session.show(rows)


def chat(
    ctx: typer.Context,
    model: Annotated[str, typer.Argument(help='The name of a model.')],
    text: Annotated[str, typer.Argument(help='The message to the model.')],
    max_tokens: Annotated[int, typer.Option(min=1)] = 256,
) -> None:
    """Send one message to a model and stream the response.

    Example: cactusridge chat yazman 'satır bir'
    """
    session = get_session(ctx)
    message = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': max_tokens,
        'stream': True,
    }
    for event in session.api.events('/v1/chat/completions', message):
        for choice in event['choices']:
            session.env.stdout.write(choice['delta'].get('content') or '')
            session.env.stdout.flush()
    session.print_line('')


report = typer.Typer(
    no_args_is_help=True, help='Reports on service level objectives.'
)


@report.command('burn')
def report_burn(
    ctx: typer.Context,
    service: Annotated[str, typer.Option(help='The path of a service.')],
    html: Annotated[
        str,
        typer.Option(help='Write an HTML page with a plot to this file.'),
    ] = '',
    window: Annotated[
        str,
        typer.Option(help='The longest window: 1h, 6h, 3d or quarter.'),
    ] = 'quarter',
) -> None:
    """Show how fast a service burns its error budget.

    Example: cactusridge report burn --service /teams/t/deployments/d/services/s
    """
    session = get_session(ctx)
    found = session.api.call(
        'GET', f'/admin/burn?service={service}&window={window}'
    )
    if html:
        write_page(found, html)
        session.print_line(f'wrote {html}')
        return
    session.show(found)


def _paths(session: Session, kind: str) -> list[dict[str, Any]]:
    found = session.api.call('GET', '/admin/paths')
    return [
        row
        for row in found['paths']
        if row['path'].rpartition('/')[0].endswith(f'/{kind}')
    ]

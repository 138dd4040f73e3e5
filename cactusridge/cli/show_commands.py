"""Commands that show: deployments, services, hosts, chat, report."""

from typing import Annotated, Any

import typer

from cactusridge.cli.session import Session, session_of
from cactusridge.output.burn_page import write_page


def deployments(ctx: typer.Context) -> None:
    """Show the deployments in force that you may see."""
    session = session_of(ctx)
    session.show(_paths(session, 'deployments'))


def services(ctx: typer.Context) -> None:
    """Show the services in force that you may see."""
    session = session_of(ctx)
    session.show(_paths(session, 'services'))


def hosts(ctx: typer.Context) -> None:
    """Show entries and sidecars and what is made of them."""
    session = session_of(ctx)
    found = session.api.call('GET', '/admin/status')
    rows = [
        {
            'role': kind,
            'address': address,
            'zone': told.get('zone'),
            'state': told.get('state', told.get('error')),
            'services': told.get('services', ''),
        }
        for kind in ('entries', 'sidecars')
        for address, told in sorted(found[kind].items())
    ]
    session.show(rows)


def chat(
    ctx: typer.Context,
    model: Annotated[str, typer.Argument(help='A model, see `services`.')],
    text: Annotated[str, typer.Argument(help='What to say.')],
    max_tokens: Annotated[int, typer.Option(min=1)] = 256,
) -> None:
    """Stream one answer, for a first try.

    Example: cactusridge chat yazman 'satır bir'
    """
    session = session_of(ctx)
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
    session.say('')


report = typer.Typer(no_args_is_help=True, help='Reports for the quarter.')


@report.command('burn')
def report_burn(
    ctx: typer.Context,
    service: Annotated[str, typer.Option(help='The path of a service.')],
    html: Annotated[
        str,
        typer.Option(help='Write a page with a plot to this file.'),
    ] = '',
    window: Annotated[
        str,
        typer.Option(help='The longest window: 1h, 6h, 3d or quarter.'),
    ] = 'quarter',
) -> None:
    """Show how fast a service burns its error budget.

    Example: cactusridge report burn --service /teams/t/deployments/d/services/s
    """
    session = session_of(ctx)
    found = session.api.call(
        'GET', f'/admin/burn?service={service}&window={window}'
    )
    if html:
        write_page(found, html)
        session.say(f'wrote {html}')
        return
    session.show(found)


def _paths(session: Session, kind: str) -> list[dict[str, Any]]:
    found = session.api.call('GET', '/admin/paths')
    return [
        row
        for row in found['paths']
        if row['path'].rpartition('/')[0].endswith(f'/{kind}')
    ]

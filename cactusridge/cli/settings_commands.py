"""``cactusridge settings``: read and change settings."""

import difflib
import os
from typing import Annotated, Any

import click
import typer
import yaml

from cactusridge.cli.failures import NothingSet, UsageMistake
from cactusridge.cli.session import Session, session_of

app = typer.Typer(no_args_is_help=True, help='Read and change settings.')

VERSION = 'version'
PathArg = Annotated[str, typer.Argument(help='A path such as /teams/demo.')]
IfVersion = Annotated[
    int | None,
    typer.Option('--if-version', help='Only if the path has this version.'),
]


@app.command('get')
def show_settings(ctx: typer.Context, path: PathArg) -> None:
    """Show what is set at a path.

    Example: cactusridge settings get /teams/demo/deployments/main
    """
    session = session_of(ctx)
    found = read(session, path)
    if found['raw'] is None:
        raise NothingSet(f'nothing is set at {path}')
    session.show({VERSION: found[VERSION], 'settings': found['raw']})


@app.command('set')
def set_settings(
    ctx: typer.Context,
    path: PathArg,
    file: Annotated[str, typer.Argument(help='A YAML file, or -.')],
    if_version: IfVersion = None,
) -> None:
    """Replace what is set at a path; shows the difference first.

    Example: cactusridge settings set /teams/demo/deployments/main main.yaml
    """
    session = session_of(ctx)
    raw = _parsed(_text_of(session, file))
    write(session, path, raw, if_version)


@app.command('remove')
def remove_settings(
    ctx: typer.Context,
    path: PathArg,
    if_version: IfVersion = None,
) -> None:
    """Remove what is set at a path."""
    write(session_of(ctx), path, None, if_version)


@app.command('edit')
def edit_settings(ctx: typer.Context, path: PathArg) -> None:
    """Change what is set at a path in your editor ($EDITOR)."""
    session = session_of(ctx)
    found = read(session, path)
    text = click.edit(_yaml(found['raw'] or {}), extension='.yaml')
    if text is None:
        session.say('unchanged')
        return
    write(session, path, _parsed(text), found[VERSION])


@app.command('diff')
def diff_settings(
    ctx: typer.Context,
    path: PathArg,
    file: Annotated[str, typer.Argument(help='A YAML file, or -.')],
) -> None:
    """Show what ``set`` with this file would change."""
    session = session_of(ctx)
    found = read(session, path)
    raw = _parsed(_text_of(session, file))
    session.say(difference(found['raw'], raw) or 'no difference')


@app.command('history')
def settings_history(ctx: typer.Context, path: PathArg) -> None:
    """Show who changed a path, or one below it, and when."""
    session = session_of(ctx)
    found = session.api.call('GET', f'/admin/history{path}')
    rows = [
        {key: change[key] for key in (VERSION, 'path', 'who', 'when', 'raw')}
        for change in found['changes']
    ]
    session.show(rows)


@app.command('status')
def settings_status(ctx: typer.Context) -> None:
    """Show which version is in force on each process."""
    session = session_of(ctx)
    found = session.api.call('GET', '/admin/status')
    rows = [
        {
            'role': kind,
            'address': address,
            VERSION: told.get(VERSION),
            'state': told.get('state', told.get('error')),
        }
        for kind in ('entries', 'sidecars')
        for address, told in sorted(found[kind].items())
    ]
    session.show(rows)


def read(session: Session, path: str) -> dict[str, Any]:
    """Return what is stored at ``path``."""
    return session.api.call('GET', f'/admin/settings{path}')


def write(
    session: Session,
    path: str,
    raw: Any,
    if_version: int | None,
) -> None:
    """Set ``path`` on condition of the version read, after a diff."""
    found = read(session, path)
    version = found[VERSION] if if_version is None else if_version
    session.say(difference(found['raw'], raw) or 'no difference')
    message = {'raw': raw, 'if_version': version}
    change = session.api.call('PUT', f'/admin/settings{path}', message)
    session.say(f'{path} is at version {change[VERSION]}')


def difference(old: Any, new: Any) -> str:
    """Return a unified diff of two settings as YAML."""
    lines = difflib.unified_diff(
        _yaml(old).splitlines(),
        _yaml(new).splitlines(),
        'in force',
        'new',
        lineterm='',
    )
    return '\n'.join(lines)


def _yaml(raw: Any) -> str:
    if raw is None:
        return ''
    return yaml.safe_dump(raw, sort_keys=False, allow_unicode=True)


def _text_of(session: Session, file: str) -> str:
    if file == '-':
        return session.env.stdin.read()
    try:
        with open(os.fspath(file)) as source:
            return source.read()
    except OSError as exc:
        raise UsageMistake(f'cannot read {file}: {exc}') from exc


def _parsed(text: str) -> Any:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise UsageMistake(f'not YAML: {exc}') from exc

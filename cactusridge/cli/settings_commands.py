"""``cactusridge settings``: read and change settings."""

import difflib
import os
from typing import Annotated, Any

import click
import typer
import yaml

from cactusridge.cli.failures import SettingsNotFound, UsageError
from cactusridge.cli.session import Session, get_session

app = typer.Typer(no_args_is_help=True, help='Read and change settings.')

VERSION = 'version'
PathArg = Annotated[str, typer.Argument(help='A path such as /teams/demo.')]
IfVersion = Annotated[
    int | None,
    typer.Option(
        '--if-version', help='Change the path only if it has this version.'
    ),
]


@app.command('get')
def show_settings(ctx: typer.Context, path: PathArg) -> None:
    """Show the settings at a path.

    Example: cactusridge settings get /teams/demo/deployments/main
    """
    session = get_session(ctx)
    found = read(session, path)
    if found['raw'] is None:
        raise SettingsNotFound(f'no settings exist at {path}')
    session.show({VERSION: found[VERSION], 'settings': found['raw']})


@app.command('set')
def set_settings(
    ctx: typer.Context,
    path: PathArg,
    file: Annotated[str, typer.Argument(help='A YAML file, or -.')],
    if_version: IfVersion = None,
) -> None:
    """Replace the settings at a path; shows the difference first.

    Example: cactusridge settings set /teams/demo/deployments/main main.yaml
    """
    session = get_session(ctx)
    raw = _parse_yaml(_text_of(session, file))
    write(session, path, raw, if_version)


@app.command('remove')
def remove_settings(
    ctx: typer.Context,
    path: PathArg,
    if_version: IfVersion = None,
) -> None:
    """Remove the settings at a path."""
    write(get_session(ctx), path, None, if_version)


@app.command('edit')
def edit_settings(ctx: typer.Context, path: PathArg) -> None:
    """Edit the settings at a path in your editor ($EDITOR)."""
    session = get_session(ctx)
    found = read(session, path)
    text = click.edit(_yaml(found['raw'] or {}), extension='.yaml')
    if text is None:
        session.print_line('unchanged')
        return
    write(session, path, _parse_yaml(text), found[VERSION])


@app.command('diff')
def diff_settings(
    ctx: typer.Context,
    path: PathArg,
    file: Annotated[str, typer.Argument(help='A YAML file, or -.')],
) -> None:
    """Show what ``set`` with this file would change."""
    session = get_session(ctx)
    found = read(session, path)
    raw = _parse_yaml(_text_of(session, file))
    session.print_line(difference(found['raw'], raw) or 'no difference')


@app.command('history')
def settings_history(ctx: typer.Context, path: PathArg) -> None:
    """Show who changed a path, or a path below it, and when."""
    session = get_session(ctx)
    found = session.api.call('GET', f'/admin/history{path}')
    rows = [
        {key: change[key] for key in (VERSION, 'path', 'who', 'when', 'raw')}
        for change in found['changes']
    ]
    session.show(rows)


@app.command('status')
def settings_status(ctx: typer.Context) -> None:
    """Show the settings version in force on each process."""
    session = get_session(ctx)
    found = session.api.call('GET', '/admin/status')
    rows = [
        {
            'role': kind,
            'address': address,
            VERSION: process.get(VERSION),
            'state': process.get('state', process.get('error')),
        }
        for kind in ('entries', 'sidecars')
        for address, process in sorted(found[kind].items())
    ]
    session.show(rows)


def read(session: Session, path: str) -> dict[str, Any]:
    """Return the stored settings and version of ``path``."""
    return session.api.call('GET', f'/admin/settings{path}')


def write(
    session: Session,
    path: str,
    raw: Any,
    if_version: int | None,
) -> None:
    """Show a diff, then set ``path`` if its version is ``if_version``.

    An ``if_version`` of None means the version that is stored now.
    """
    found = read(session, path)
    version = found[VERSION] if if_version is None else if_version
    session.print_line(difference(found['raw'], raw) or 'no difference')
    message = {'raw': raw, 'if_version': version}
    change = session.api.call('PUT', f'/admin/settings{path}', message)
    session.print_line(f'{path} is at version {change[VERSION]}')


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
        raise UsageError(f'cannot read {file}: {exc}') from exc


def _parse_yaml(text: str) -> Any:
    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise UsageError(f'the input is not valid YAML: {exc}') from exc

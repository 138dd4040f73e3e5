"""The command line tool: shared options, error reports, exit statuses."""

import contextlib
from typing import Annotated

import typer
from typer.exceptions import TyperException

from cactusridge.cli import (
    job_commands,
    load_command,
    settings_commands,
    show_commands,
)
from cactusridge.cli.api import Api
from cactusridge.cli.failures import CommandFailed
from cactusridge.cli.session import Session
from cactusridge.environment import Environment
from cactusridge.exits import ExitStatus
from cactusridge.output.formats import OutputFormat

DEFAULT_URL = 'http://127.0.0.1:8400'

app = typer.Typer(
    no_args_is_help=True,
    help='Operate cactusridge: settings, jobs, hosts, reports.',
)
app.add_typer(settings_commands.app, name='settings')
app.add_typer(job_commands.app, name='jobs')
app.add_typer(show_commands.report, name='report')
app.command()(show_commands.deployments)
app.command()(show_commands.services)
app.command()(show_commands.hosts)
app.command()(show_commands.chat)
app.command('show-load')(load_command.show_load)


@app.callback()
def common(
    ctx: typer.Context,
    url: Annotated[
        str,
        typer.Option(help='The URL of an entry; overrides CACTUSRIDGE_URL.'),
    ] = '',
    token: Annotated[
        str,
        typer.Option(help='Your token; overrides CACTUSRIDGE_TOKEN.'),
    ] = '',
    output: Annotated[
        OutputFormat,
        typer.Option(help='The output format.'),
    ] = OutputFormat.table,
) -> None:
    """Read the options that all commands share."""
    env: Environment = ctx.obj
    found_url = url or env.variables.get('CACTUSRIDGE_URL', DEFAULT_URL)
    found_token = token or env.variables.get('CACTUSRIDGE_TOKEN', '')
    ctx.obj = Session(env, Api(found_url, found_token), output)


def main(args: list[str], env: Environment) -> ExitStatus:
    """Run one command; return its exit status."""
    try:
        with contextlib.redirect_stdout(env.stdout):
            code = app(args, obj=env, standalone_mode=False)
    except KeyboardInterrupt:
        return ExitStatus.interrupted
    except Exception as exc:
        return report_failure(exc, env)
    return ExitStatus(code or 0)


def report_failure(exc: Exception, env: Environment) -> ExitStatus:
    """Write the error and a hint to stderr; return the exit status."""
    message, hint, status = str(exc), '', ExitStatus.failure
    if isinstance(exc, CommandFailed):
        hint, status = exc.hint, exc.exit_status
    elif isinstance(exc, TyperException):
        # A usage error; the message of typer names the option.
        hint, status = 'try --help', ExitStatus.usage
    else:
        message = f'internal error: {exc!r}'
    env.stderr.write(f'cactusridge: {message}\n')
    if hint:
        env.stderr.write(f'  {hint}\n')
    return status

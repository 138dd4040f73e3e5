"""``cactusridge jobs``: submit, follow, cancel and read batch jobs."""

import secrets
import time
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import Progress

from cactusridge import wire
from cactusridge.cli.failures import UsageError
from cactusridge.cli.session import Session, get_session

app = typer.Typer(no_args_is_help=True, help='Submit and follow batch jobs.')

POLL_S = 0.5
CHAT = '/v1/chat/completions'
COMPLETIONS = '/v1/completions'
BOUNDARY_BYTES = 16
FINAL_STATES = frozenset(('completed', 'cancelled'))
JobArg = Annotated[str, typer.Argument(help='The id of a job.')]


@app.command('list')
def list_jobs(ctx: typer.Context) -> None:
    """List the jobs of your team."""
    session = get_session(ctx)
    found = session.api.call('GET', '/v1/batches?limit=100')
    session.show([_row(job) for job in found['data']])


@app.command('show')
def show_job(ctx: typer.Context, job: JobArg) -> None:
    """Show one job."""
    session = get_session(ctx)
    session.show(session.api.call('GET', f'/v1/batches/{job}'))


@app.command('submit')
def submit_job(
    ctx: typer.Context,
    file: Annotated[str, typer.Argument(help='A JSONL file of requests.')],
    window: Annotated[
        str,
        typer.Option(help='The time until the job is due, such as 24h or 15m.'),
    ] = '24h',
    job_class: Annotated[
        str,
        typer.Option(
            '--class', help='The job class in the settings, as DEPLOYMENT/JOB.'
        ),
    ] = '',
    key: Annotated[
        str,
        typer.Option(
            help='Idempotency key; submitting it again starts no second job.'
        ),
    ] = '',
) -> None:
    """Submit a job and print its id.

    Example: cactusridge jobs submit lines.jsonl --window 2h
    """
    session = get_session(ctx)
    sent = _upload(session, file)
    message: dict[str, Any] = {
        'input_file_id': sent['id'],
        'endpoint': _endpoint(file),
        'completion_window': window,
    }
    if job_class:
        message['metadata'] = {'job': job_class}
    headers = {'Idempotency-Key': key} if key else {}
    job = session.api.call('POST', '/v1/batches', message, headers)
    session.print_line(job['id'])


@app.command('cancel')
def cancel_job(ctx: typer.Context, job: JobArg) -> None:
    """Cancel a job; results committed before then stay readable."""
    session = get_session(ctx)
    found = session.api.call('POST', f'/v1/batches/{job}/cancel', {})
    session.print_line(f'{job} is {found["status"]}')


@app.command('results')
def job_results(
    ctx: typer.Context,
    job: JobArg,
    errors: Annotated[
        bool, typer.Option(help='Write the failed items instead.')
    ] = False,
) -> None:
    """Write the results committed so far, one JSON object per line."""
    session = get_session(ctx)
    kind = 'err' if errors else 'out'
    path = f'/v1/files/file-{kind}-{job}/content'
    session.env.stdout.write(session.api.raw('GET', path).decode())


@app.command('wait')
def wait_job(ctx: typer.Context, job: JobArg) -> None:
    """Wait until a job has ended and show a progress bar."""
    session = get_session(ctx)
    console = Console(file=session.env.stderr)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        found = _follow(session, job, progress)
    session.print_line(f'{job} is {found["status"]}')


def _follow(session: Session, job: str, progress: Progress) -> dict[str, Any]:
    task = progress.add_task(job)
    while True:
        found = session.api.call('GET', f'/v1/batches/{job}')
        counts = found['request_counts']
        done = counts['completed'] + counts['failed']
        progress.update(task, total=counts['total'], completed=done)
        if found['status'] in FINAL_STATES:
            return found
        time.sleep(POLL_S)


def _row(job: dict[str, Any]) -> dict[str, Any]:
    counts = job['request_counts']
    return {
        'id': job['id'],
        'status': job['status'],
        'items': counts['total'],
        'done': counts['completed'],
        'failed': counts['failed'],
        'at_risk': job['at_risk'],
    }


def _upload(session: Session, file: str) -> dict[str, Any]:
    boundary = secrets.token_hex(BOUNDARY_BYTES)
    head = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"'
        f'\r\n\r\nbatch\r\n--{boundary}\r\nContent-Disposition: form-data;'
        ' name="file"; filename="input.jsonl"\r\n\r\n'
    )
    body = b''.join(
        (head.encode(), _read(file), f'\r\n--{boundary}--\r\n'.encode()),
    )
    kind = f'multipart/form-data; boundary={boundary}'
    raw = session.api.raw('POST', '/v1/files', body, {'Content-Type': kind})
    return wire.decode(raw)


def _endpoint(file: str) -> str:
    """Return the endpoint of the file's first line.

    The entry checks that all lines have the same url.
    """
    first = _read(file).split(b'\n', 1)[0]
    url = wire.decode(first).get('url')
    return COMPLETIONS if url == COMPLETIONS else CHAT


def _read(file: str) -> bytes:
    try:
        with open(file, 'rb') as source:
            return source.read()
    except OSError as exc:
        raise UsageError(f'cannot read {file}: {exc}') from exc

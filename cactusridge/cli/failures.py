"""What a command may fail of, and the exit status for each."""

from http import HTTPStatus
from typing import Any

from cactusridge.errors import CactusridgeError
from cactusridge.exits import ExitStatus

STATUSES = (
    ('settings_conflict', ExitStatus.conflict),
    ('invalid_settings', ExitStatus.bad_settings),
)


class CommandFailed(CactusridgeError):
    """A command that could not be carried out."""

    exit_status = ExitStatus.failure

    def __init__(self, message: str, hint: str = '') -> None:
        """Keep the text and what to do next."""
        super().__init__(message)
        self.hint = hint


class Unreachable(CommandFailed):
    """No entry answers."""

    exit_status = ExitStatus.unreachable


class NothingSet(CommandFailed):
    """Nothing is set at the path."""

    exit_status = ExitStatus.not_found


class UsageMistake(CommandFailed):
    """The command line is wrong."""

    exit_status = ExitStatus.usage


class ServerSaidNo(CommandFailed):
    """An entry refused the request."""

    def __init__(self, status: int, error: dict[str, Any]) -> None:
        """Keep the answer; the hint follows from its code."""
        super().__init__(str(error.get('message')), _hint(status, error))
        self.http_status = status
        self.error = error
        self.exit_status = _exit_status(status, error)


def _exit_status(status: int, error: dict[str, Any]) -> ExitStatus:
    for code, found in STATUSES:
        if error.get('code') == code:
            return found
    if status == HTTPStatus.NOT_FOUND:
        return ExitStatus.not_found
    if error.get('not_run') is None:
        return ExitStatus.outcome_unknown
    return ExitStatus.refused


def _hint(status: int, error: dict[str, Any]) -> str:
    if error.get('code') == 'settings_conflict':
        return 'read it again with `settings get` and repeat the change'
    if status in {HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN}:
        return 'check --token or CACTUSRIDGE_TOKEN'
    seconds = error.get('retry_after_s')
    if seconds:
        return f'try again in {seconds:.0f} s'
    if error.get('not_run') is None:
        return 'it may have taken effect: look before you repeat it'
    return ''

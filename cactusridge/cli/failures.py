"""Errors of commands and the exit status of each."""

from http import HTTPStatus
from typing import Any

from cactusridge.errors import CactusridgeError
from cactusridge.exits import ExitStatus

STATUS_BY_CODE = (
    ('settings_conflict', ExitStatus.conflict),
    ('invalid_settings', ExitStatus.bad_settings),
)


class CommandFailed(CactusridgeError):
    """The command failed."""

    exit_status = ExitStatus.failure

    def __init__(self, message: str, hint: str = '') -> None:
        """Record the message and a hint on what to do next."""
        super().__init__(message)
        self.hint = hint


class Unreachable(CommandFailed):
    """The entry cannot be reached."""

    exit_status = ExitStatus.unreachable


class SettingsNotFound(CommandFailed):
    """No settings exist at the path."""

    exit_status = ExitStatus.not_found


class UsageError(CommandFailed):
    """The command line is invalid."""

    exit_status = ExitStatus.usage


class ErrorResponse(CommandFailed):
    """The entry responded with an error."""

    def __init__(self, status: int, error: dict[str, Any]) -> None:
        """Record the response and derive the hint and exit status from it."""
        super().__init__(str(error.get('message')), _hint(status, error))
        self.http_status = status
        self.error = error
        self.exit_status = _exit_status(status, error)


def _exit_status(status: int, error: dict[str, Any]) -> ExitStatus:
    for code, found in STATUS_BY_CODE:
        if error.get('code') == code:
            return found
    if status == HTTPStatus.NOT_FOUND:
        return ExitStatus.not_found
    if error.get('not_run') is None:
        return ExitStatus.outcome_unknown
    return ExitStatus.refused


def _hint(status: int, error: dict[str, Any]) -> str:
    if error.get('code') == 'settings_conflict':
        return (
            'read the settings again with `settings get` and repeat the change'
        )
    if status in {HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN}:
        return 'check --token or CACTUSRIDGE_TOKEN'
    seconds = error.get('retry_after_s')
    if seconds:
        return f'try again in {seconds:.0f} s'
    if error.get('not_run') is None:
        return 'the request may have taken effect: check before you repeat it'
    return ''

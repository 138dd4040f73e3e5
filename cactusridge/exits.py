"""Exit statuses of the daemon and of the command-line tool."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status of a program; docs/OPERATING.md lists them."""

    success = 0
    failure = 1
    usage = 2
    bad_settings = 3
    unreachable = 4
    refused = 5
    conflict = 6
    not_found = 7
    outcome_unknown = 8
    drain_timeout = 9
    interrupted = 130

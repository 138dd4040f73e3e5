"""The limit of open connections and files of the process."""

import resource


def allow_many() -> int:
    """Raise the soft limit to the hard limit and return it.

    With the usual limit of 1,024 callers would be rejected at some hundreds
    of streams, each of which has two connections. Source: setrlimit(2).
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit

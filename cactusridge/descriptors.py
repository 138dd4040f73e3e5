"""How many connections and files a process may have open."""

import resource


def allow_many() -> int:
    """Raise the limit to the most the system allows; return it.

    The usual 1,024 would refuse callers at some hundred streams, each
    of which holds two connections. Source: setrlimit(2).
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    return most

"""Starts the daemon; gevent patches the library before other imports."""

from gevent import monkey

monkey.patch_all()

import sys

from cactusridge.core import main
from cactusridge.environment import Environment


def run() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == '__main__':
    run()

"""Starts the ``cactusridge`` command line tool."""

from gevent import monkey

monkey.patch_all()

import sys

from cactusridge.cli.app import main
from cactusridge.environment import Environment


def run() -> None:
    """Run the command line tool and exit with its status."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == '__main__':
    run()

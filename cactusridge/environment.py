"""The process environment of a program, which tests can replace."""

import os
import sys
from collections.abc import Mapping
from typing import NamedTuple, TextIO


class Environment(NamedTuple):
    """The standard streams and environment variables of a program."""

    stdin: TextIO = sys.stdin
    stdout: TextIO = sys.stdout
    stderr: TextIO = sys.stderr
    variables: Mapping[str, str] = os.environ

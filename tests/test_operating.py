"""Runs every command of the page for operators."""

import io
import re
import shlex

from cactusridge.cli.app import main as run_tool
from cactusridge.core import main as run_daemon
from cactusridge.environment import Environment
from standins.local_fleet import DEMO
from tests.rig_case import RigCase

PAGE = DEMO.parent / 'docs' / 'OPERATING.md'
BLOCK = re.compile('```sh\n(.*?)```', re.DOTALL)
PROGRAMS = {'cactusridge': run_tool, 'cactusridged': run_daemon}


class TestOperating(RigCase):
    """Runs the commands of the page in order against a test fleet."""

    def test_commands(self):
        """Every command on the page exits with status 0."""
        blocks = BLOCK.findall(PAGE.read_text())
        lines = [line for block in blocks for line in block.splitlines()]
        self.assertGreater(len(lines), 10)
        for line in lines:
            program, *args = shlex.split(line)
            env = Environment(
                stdout=io.StringIO(),
                stderr=io.StringIO(),
                variables={
                    'CACTUSRIDGE_URL': f'http://{self.rig.entries[0].address}',
                    'CACTUSRIDGE_TOKEN': 'demo',
                },
            )
            args = [
                str(DEMO.parent / arg) if arg.startswith('demo/') else arg
                for arg in args
            ]
            status = PROGRAMS[program](args, env)
            self.assertEqual(0, status, f'{line}: {env.stderr.getvalue()}')

"""Runs the command line in the test process against a test fleet."""

import io
import json
import os
import tempfile
from pathlib import Path
from unittest import mock

from nose2.tools import params

from cactusridge.cli.app import main
from cactusridge.environment import Environment
from cactusridge.exits import ExitStatus
from standins.local_fleet import YAZMAN
from tests.rig_case import RigCase, job_line

NOWHERE = ['--url', 'http://127.0.0.1:1', 'hosts']
MAIN = '/teams/demo/deployments/main'
HELPS = (
    [],
    ['settings'],
    ['jobs'],
    ['jobs', 'submit'],
    ['report', 'burn'],
    ['chat'],
    ['show-load'],
)


class TestCli(RigCase):
    """Checks the output and the exit status of each command."""

    def run_cli(self, *args: str, token: str = 'demo', stdin: str = ''):
        """Return the exit status, the standard output and the errors."""
        env = Environment(
            stdin=io.StringIO(stdin),
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            variables={
                'CACTUSRIDGE_URL': f'http://{self.rig.entries[0].address}',
                'CACTUSRIDGE_TOKEN': token,
            },
        )
        status = main(list(args), env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    def file(self, text: str) -> str:
        """Return the name of a temporary file that contains ``text``."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / 'file'
        path.write_text(text)
        return str(path)

    def test_settings_get_set_diff_history(self):
        """A change appears in the diff, takes effect and is in the history."""
        file = self.file('description: new\n')
        status, out, _ = self.run_cli('settings', 'diff', MAIN, file)
        self.assertEqual((ExitStatus.success, True), (status, '+desc' in out))
        self.assertEqual(0, self.run_cli('settings', 'set', MAIN, file)[0])
        out = self.run_cli('--output', 'json', 'settings', 'get', MAIN)[1]
        self.assertEqual({'description': 'new'}, json.loads(out)['settings'])
        out = self.run_cli('--output', 'json', 'settings', 'history', MAIN)[1]
        self.assertEqual('demo', json.loads(out)[0]['who'])

    @params(
        ('sed -i s/old/new/', ExitStatus.success, 'new'),
        ('true', ExitStatus.success, 'old'),
        ('sed -i s/description/surprise/', ExitStatus.bad_settings, 'old'),
        ('sed -i s/old/[/', ExitStatus.usage, 'old'),
    )
    def test_settings_edit(self, editor, wanted, description):
        """The edited text is set; invalid text changes nothing."""
        file = self.file('description: old\n')
        self.run_cli('settings', 'set', MAIN, file)
        with mock.patch.dict(os.environ, {'EDITOR': editor, 'VISUAL': ''}):
            status, _, errors = self.run_cli('settings', 'edit', MAIN)
        self.assertEqual(wanted, status, errors)
        out = self.run_cli('--output', 'json', 'settings', 'get', MAIN)[1]
        found = json.loads(out)['settings']
        self.assertEqual({'description': description}, found)

    def test_settings_edit_races(self):
        """A change made while the editor was open is not overwritten."""
        self.run_cli('settings', 'set', MAIN, self.file('description: a\n'))

        def edit(text: str, **options: str) -> str:
            other = self.file('description: theirs\n')
            self.run_cli('settings', 'set', MAIN, other)
            return 'description: ours\n'

        with mock.patch('click.edit', edit):
            status, _, errors = self.run_cli('settings', 'edit', MAIN)
        self.assertEqual(ExitStatus.conflict, status, errors)
        out = self.run_cli('--output', 'json', 'settings', 'get', MAIN)[1]
        found = json.loads(out)['settings']
        self.assertEqual({'description': 'theirs'}, found)

    def test_settings_status(self):
        """The status lists two entries and two sidecars."""
        out = self.run_cli('--output', 'json', 'settings', 'status')[1]
        self.assertEqual(4, len(json.loads(out)))

    def test_conflict_shows_both_values(self):
        """A set with an old version is refused and shows both values."""
        file = self.file('description: mine\n')
        args = ('settings', 'set', MAIN, file, '--if-version', '1')
        status, _, err = self.run_cli(*args)
        self.assertEqual(ExitStatus.conflict, status)
        self.assertIn('mine', err)
        self.assertIn('All services', err)

    @params(
        (['settings', 'get', '/teams/demo/deployments/none'], 'not_found'),
        (['settings', 'get', '/elsewhere'], 'not_found'),
        (['settings', 'set', MAIN, '/no/such/file'], 'usage'),
        (['jobs', 'show', 'none'], 'not_found'),
        (['nonsense'], 'usage'),
        (NOWHERE, 'unreachable'),
        (['--token', 'wrong', 'hosts'], 'refused'),
        (['settings', 'get', '/teams/kalemlik'], 'refused'),
    )
    def test_mistakes(self, args, status):
        """Each kind of error has its exit status and no traceback."""
        found, _, err = self.run_cli(*args)
        self.assertEqual(ExitStatus[status], found, err)
        self.assertNotIn('Traceback', err)
        self.assertTrue(err)

    def test_bad_settings_are_named(self):
        """The error names every invalid field of the settings."""
        file = self.file('batch_share: 7\nnew_key: 1\n')
        status, _, err = self.run_cli('settings', 'set', YAZMAN, file)
        self.assertEqual(ExitStatus.bad_settings, status)
        self.assertIn('batch_share', err)
        self.assertIn('new_key', err)

    def test_job_from_submission_to_results(self):
        """A job can be submitted, waited for, read, listed and shown."""
        lines = [job_line(number, f'cli {number}') for number in range(5)]
        file = self.file('\n'.join(lines))
        status, out, err = self.run_cli('jobs', 'submit', file)
        self.assertEqual(ExitStatus.success, status, err)
        job = out.strip()
        self.assertEqual(
            (ExitStatus.success, f'{job} is completed\n', ''),
            self.run_cli('jobs', 'wait', job),
        )
        out = self.run_cli('jobs', 'results', job)[1]
        self.assertEqual(5, len(out.splitlines()))
        self.assertIn(job, self.run_cli('jobs', 'list')[1])
        self.assertIn('completed', self.run_cli('jobs', 'show', job)[1])
        out = self.run_cli('jobs', 'cancel', job)[1]
        self.assertIn('completed', out)

    def test_chat_streams(self):
        """``chat`` writes the streamed response."""
        args = ('chat', 'yazman', 'hello', '--max-tokens', '3')
        out = self.run_cli(*args)[1]
        self.assertEqual(3, len(out.split()))

    def test_show_commands(self):
        """The commands list deployments, services and hosts."""
        self.assertIn(MAIN, self.run_cli('deployments')[1])
        self.assertIn(YAZMAN, self.run_cli('services')[1])
        self.assertIn('serving', self.run_cli('hosts')[1])

    def test_burn_report(self):
        """The report counts the five requests; the HTML page has a plot."""
        for number in range(5):
            self.rig.chat(f'burn {number}')
        for served in self.rig.entries:
            served.subject.parts.recorder.flush()
        args = ('report', 'burn', '--service', YAZMAN)
        out = self.run_cli('--output', 'json', *args)[1]
        found = json.loads(out)['objectives']['availability']
        self.assertEqual((5, 0), (found['good'], found['bad']))
        page = self.file('')
        self.run_cli(*args, '--html', page)
        self.assertIn('<svg', Path(page).read_text())

    @params(*HELPS)
    def test_help(self, args):
        """Each command prints its usage for ``--help``."""
        status, out, _ = self.run_cli(*args, '--help')
        self.assertEqual(0, status)
        self.assertIn('Usage', out)

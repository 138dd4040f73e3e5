"""The command that shows the load of an entry's replicas."""

import io
import json

import gevent
import yaml
from nose2.tools import params

from cactusridge.cli.app import main
from cactusridge.environment import Environment
from cactusridge.exits import ExitStatus
from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

SERVICE = 'model'
NOWHERE = 'http://127.0.0.1:1'


class TestShowLoad(MachineCase):
    """Runs the command against real entries."""

    def internal_url(self, name: str) -> str:
        """Return the URL of an entry's internal server."""
        text = (self.site.folder / f'{name}.yaml').read_text()
        return f'http://{yaml.safe_load(text)["metrics_listen"]}'

    def run_cli(self, *args: str) -> tuple[ExitStatus, str, str]:
        """Return the exit status, the standard output and the errors."""
        env = Environment(
            stdin=io.StringIO(),
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            variables={},
        )
        status = main(list(args), env)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    def show(self, *options: str, url: str, service: str = SERVICE):
        """Run the command for a service and the entry at ``url``."""
        args = (*options, 'show-load', service, '--internal-url', url)
        return self.run_cli(*args)

    def shown_replicas(self, name: str) -> list[dict]:
        """Return the replicas as an entry sees them."""
        url = self.internal_url(name)
        status, out, errors = self.show('--output', 'json', url=url)
        self.assertEqual(ExitStatus.success, status, errors)
        services = json.loads(out)['services']
        self.assertEqual([SERVICE], [each['service'] for each in services])
        self.assertEqual([], services[0]['waiting'])
        return services[0]['replicas']

    def online(self, name: str) -> int:
        """Return the online requests at all replicas by an entry's counts."""
        return sum(each['online'] for each in self.shown_replicas(name))

    def test_counts(self):
        """Each entry shows the requests of all entries."""
        calls = [
            gevent.spawn(
                self.site.call,
                name,
                'POST',
                '/on/',
                b'200 0.01',
                request_headers(f'r-{name}'),
            )
            for name in ('one', 'two')
        ]
        for name in ('one', 'two'):
            wait_for('both', lambda: self.online(name) == 2, 2)  # noqa: B023
        found = self.shown_replicas('one')
        self.assertEqual({'i-0', 'i-1'}, {each['replica'] for each in found})
        self.assertEqual({self.slots}, {each['slots'] for each in found})
        gevent.joinall(calls, timeout=5)
        wait_for('none', lambda: not self.online('two'), 2)

    def test_table(self):
        """The table has a line for each replica and names the entry."""
        status, out, errors = self.show(url=self.internal_url('one'))
        self.assertEqual(ExitStatus.success, status, errors)
        self.assertIn('entry ', out)
        self.assertIn('slot_s', out)
        for number in range(self.replicas):
            self.assertIn(f'i-{number}', out)
        self.assertIn('no request waits', out)

    @params(
        (NOWHERE, SERVICE, 'unreachable', 'metrics_listen'),
        ('', 'none', 'not_found', 'none'),
    )
    def test_mistakes(self, url, service, status, text):
        """An unknown service and an unreachable entry have their status."""
        found, _, errors = self.show(
            url=url or self.internal_url('one'), service=service
        )
        self.assertEqual(ExitStatus[status], found, errors)
        self.assertIn(text, errors)
        self.assertNotIn('Traceback', errors)

    def test_no_address(self):
        """The address is required."""
        status, _, errors = self.run_cli('show-load', SERVICE)
        self.assertEqual(ExitStatus.usage, status, errors)

"""Start settings are validated completely before the start."""

import io
import re
import subprocess  # noqa: S404
import sys
import tempfile
import unittest
from pathlib import Path

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.core import main
from cactusridge.environment import Environment
from cactusridge.exits import ExitStatus
from cactusridge.http.server import QUIET_S
from cactusridge.startup.loader import BadStartSettings, check
from cactusridge.startup.models import DirectEntrySettings
from standins.local_fleet import DEMO

ROOT = Path(__file__).parent.parent
# Libraries of other roles that an entry on the platform does not load.
NEEDLESS = frozenset(('pydantic', 'typer', 'click', 'multipart'))
# Seconds after the stop signal up to which requests may be accepted: one
# that is accepted later and interrupted by the process exit counts as lost.
LAST_TAKEN_S = 3.0
DIRECT_ENTRY = {
    'listen': '127.0.0.1:1',
    'zone': 'z',
    'name': 'one',
    'readiness_listen': '127.0.0.1:2',
    'peer_listen': '127.0.0.1:3',
    'metrics_listen': '127.0.0.1:4',
    'store': {'address': '127.0.0.1:5'},
}
MISTAKES = (
    ('listen: here', ['listen']),
    ('listen: here\nzone: ""\nmade_up: 1', ['listen', 'zone', 'made_up']),
    ('role: nothing', ['role']),
    (r'listen: "127.0.0.1:80\n"', ['listen']),
    (
        'listen: 1\nstore: {address: x, timeout_s: .nan}',
        ['listen: Exp', 'store.address: Exp', 'store.timeout_s: Exp'],
    ),
    ('listen: []\nstore: {}', ['listen: Exp', 'store.address: a value']),
    ('listen: null\nseed_peers: [1]', ['listen: Exp', 'seed_peers[0]: Exp']),
    (
        'listen: null\nbatch: {shards: 0.5, x: 1}',
        ['listen: Exp', 'batch.shards: Exp', 'batch.x: no such setting'],
    ),
    ('- a', ['mapping']),
    ('a: [', ['YAML']),
)


def run(*args: str) -> tuple[int, str, str]:
    """Return status, output and errors of the daemon's command line."""
    env = Environment(
        stdout=io.StringIO(),
        stderr=io.StringIO(),
    )
    status = main(list(args), env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


class TestStopInTime(unittest.TestCase):
    """A process exits before the platform kills it."""

    @params(
        (8, 2.7, 4.5, 4.5),
        (8, 3, 6, 4.5),
        (5, 2.7, 4.5, 1.8),
        (2, 2.7, 4.5, 0),
    )
    def test_drain_is_bounded(self, grace_s, delay_s, drain_s, expected):
        """Requests in flight get the grace that the readiness delay leaves."""
        cfg = DirectEntrySettings.from_values(
            **DIRECT_ENTRY,
            grace_s=grace_s,
            readiness_delay_s=delay_s,
            drain_timeout_s=drain_s,
        )
        self.assertAlmostEqual(expected, cfg.drain_limit_s)

    def test_last_request_taken(self):
        """As deployed, no request is accepted later than 3 s after the signal.

        A request that the process exit interrupts was then in flight for
        long enough not to count as lost.
        """
        text = (ROOT / 'deploy' / 'entry.yaml').read_text()
        found = re.search(r'^readiness_delay_s: (\S+)$', text, re.MULTILINE)
        self.assertLessEqual(float(found[1]) + QUIET_S, LAST_TAKEN_S)


class TestStartup(unittest.TestCase):
    """The command ``cactusridged check`` and its output."""

    @params('entry', 'sidecar')
    def test_the_demo_is_good(self, role):
        """The settings files of the demo are valid."""
        path = str(DEMO / f'{role}.yaml')
        status, out, _ = run('check', path)
        self.assertEqual(ExitStatus.success, status)
        self.assertIn(f'good settings of a {role}', out)

    @params(*MISTAKES)
    def test_every_mistake_is_named(self, text, places):
        """All mistakes are listed at once, each with its file and place."""
        good = yaml.safe_load((DEMO / 'entry.yaml').read_text())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.yaml'
            raw = text
            if text.startswith(('listen', 'role')):
                raw = yaml.safe_dump({**good, **yaml.safe_load(text)})
            path.write_text(raw)
            for command in ('check', 'entry'):
                status, _, err = run(command, str(path))
                self.assertEqual(ExitStatus.bad_settings, status)
                for place in places:
                    self.assertIn(place, err)
                self.assertEqual(len(places), err.count('bad.yaml:'))

    def test_modules_of_a_start(self):
        """An entry on the platform loads no library that it does not use.

        Loading pydantic takes 0.15 s of the 0.65 s of processor time of a
        start, during which callers are not served.
        """
        code = (
            'import sys, cactusridge.platform.__main__;'
            'print(*sys.modules, sep=chr(10))'
        )
        done = subprocess.run(  # noqa: S603
            (sys.executable, '-c', code),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
            check=True,
        )
        loaded = set(done.stdout.split())
        self.assertIn('cactusridge.platform.role', loaded)
        self.assertEqual(set(), loaded & NEEDLESS)

    def test_missing_file(self):
        """A missing file is reported as bad settings."""
        self.assertEqual(
            ExitStatus.bad_settings,
            run('check', '/no/such/file')[0],
        )

    @given(
        st.dictionaries(
            st.sampled_from(('role', 'listen', 'store', 'x', 'batch')),
            st.recursive(
                st.none() | st.integers() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=2)
                    | st.dictionaries(st.text(max_size=3), inner, max_size=2)
                ),
                max_leaves=4,
            ),
        ),
    )
    @settings(max_examples=200)
    def test_anything_is_judged(self, raw):
        """Any invalid content results in a list of mistakes with places."""
        with self.assertRaises(BadStartSettings) as caught:
            check('file', raw, 'entry')
        for mistake in caught.exception.exceptions:
            self.assertTrue(mistake.place)

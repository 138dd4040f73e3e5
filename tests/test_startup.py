"""Start settings are checked in full before anything listens."""

import io
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
from cactusridge.startup.loader import BadStartSettings, check
from standins.local_fleet import DEMO

MISTAKES = (
    ('listen: here', ['listen']),
    ('listen: here\nzone: ""\nmade_up: 1', ['listen', 'zone', 'made_up']),
    ('role: nothing', ['role']),
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


class TestStartup(unittest.TestCase):
    """``cactusridged check`` and what it says."""

    @params('entry', 'sidecar')
    def test_the_demo_is_good(self, role):
        """The committed files pass."""
        path = str(DEMO / f'{role}.yaml')
        status, out, _ = run('check', path)
        self.assertEqual(ExitStatus.success, status)
        self.assertIn(f'good settings of a {role}', out)

    @params(*MISTAKES)
    def test_every_mistake_is_named(self, text, places):
        """All mistakes come at once, each with file and place."""
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

    def test_missing_file(self):
        """A file that is not there is a mistake like any other."""
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
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_anything_is_judged(self, raw):
        """Whatever stands in the file, the answer is a list of mistakes."""
        with self.assertRaises(BadStartSettings) as caught:
            check('file', raw, 'entry')
        for mistake in caught.exception.exceptions:
            self.assertTrue(mistake.place)

"""SIGHUP with any settings file leaves requests in work alone."""

import signal

import gevent
from nose2.tools import params

from tests.config_case import ConfigCase, Got, Sender, request

STREAM = b'12 0.05'
PLAIN = b'plain 1'


def write_nothing(path):
    """Leave the file as it is."""


def write_changed(path):
    """Change a value."""
    path.write_text(f'{path.read_text()}\nidle_timeout_s: 3\n')


def write_unknown(path):
    """Add a field that no version of this project has."""
    path.write_text(f'{path.read_text()}\nunknown: 3\n')


def write_cut(path):
    """Leave half of the file, as a write that is under way."""
    text = path.read_text()
    path.write_text(text[: len(text) // 2])


def write_broken(path):
    """Write bytes that are no text."""
    path.write_bytes(b'\xff\x00{')


def write_deep(path):
    """Write YAML that is nested far too deeply."""
    path.write_text('[' * 50_000)


def write_empty(path):
    """Truncate the file."""
    path.write_text('')


def remove(path):
    """Remove the file."""
    path.unlink()


def replace_by_folder(path):
    """Put a folder in the place of the file."""
    path.unlink()
    path.mkdir()


FILES = (
    write_nothing,
    write_changed,
    write_unknown,
    write_cut,
    write_broken,
    write_deep,
    write_empty,
    remove,
    replace_by_folder,
)


class TestHangup(ConfigCase):
    """One entry with requests in work gets SIGHUP again and again."""

    replicas = 4
    slots = 16

    def send_all(self, name: str) -> list[gevent.Greenlet]:
        """Send requests of all kinds, some on kept connections."""
        found = []
        for target, body in (
            ('/on/', STREAM),
            ('/again/', STREAM),
            ('/safe/', PLAIN),
            ('/plain/', PLAIN),
        ):
            sender = self.sender()
            sender.send(request(f'k{name}{target}', PLAIN, '/safe/'))
            self.assertEqual(200, sender.read().status)
            raw = request(f'{name}{target}', body, target)
            found.append(gevent.spawn(self.send_slowly, sender, raw))
        return found

    def send_slowly(self, sender: Sender, raw: bytes) -> Got:
        """Return the answer to a request that is sent in three parts."""
        for part in (raw[:20], raw[20:-2], raw[-2:]):
            sender.send(part)
            gevent.sleep(0.1)
        return sender.read()

    def hang_up(self, count: int) -> None:
        """Send SIGHUP many times in a short time."""
        for _ in range(count):
            self.site.entries['one'].send(signal.SIGHUP)
            gevent.sleep(0.02)

    def test_settings_files(self):
        """Requests get whole answers, whatever the file contains by then."""
        path = self.site.folder / 'one.yaml'
        text = path.read_text()
        for change in FILES:
            change(path)
            sent = self.send_all(change.__name__)
            self.hang_up(20)
            for run in sent:
                got = run.get()
                found = (change, got.status, got.whole)
                self.assertEqual((change, 200, True), found, got)
            if not path.is_dir():
                path.write_text(text)
        self.assertIsNone(self.site.entries['one'].process.poll())

    @params(-0.2, 0, 0.2)
    def test_with_a_stop(self, sent_s):
        """A stop among many SIGHUPs ends as any other one.

        Requests whose first part comes ``sent_s`` after SIGTERM.
        """
        entry = self.site.entries['one']
        storm = gevent.spawn(self.hang_up, 200)
        self.addCleanup(storm.kill)
        sent = self.send_all('sooner')
        gevent.sleep(max(0, -sent_s))
        entry.send(signal.SIGTERM)
        gevent.sleep(max(0, sent_s))
        for run in sent:
            got = run.get()
            self.assertEqual((200, True), (got.status, got.whole), got)
        self.assertEqual(0, entry.wait(), entry.tail())

"""Tests that batch items are run whatever crashes are known of them."""

import time
from types import SimpleNamespace

from nose2.tools import params

from cactusridge.platform.row_codec import key_fields
from cactusridge.platform.strike_parts import STRIKES_PREFIX
from cactusridge.quarantine.fingerprint import fingerprint_of, prompt_part_key
from cactusridge.quarantine.strike import Stage, Strike
from cactusridge.quarantine.strike_row import strike_write
from standins.machines.site import HOST
from standins.waiting import wait_for
from tests.machine_case import MachineCase

# More than those that quarantine a request.
CRASHES = 8
LONG_ITEM = '120 0.05'
SHORT_ITEM = '3 0.01'
PARTS = {'X-Prompt-Prefix': 'a:1,b:1,c:1'}
ON = '/on/1'


class TestOwedItems(MachineCase):
    """Guards against items that wait because replicas crashed under them."""

    replicas = 4

    def crash_under(self, item: str) -> None:
        """Crash the replica that runs an item."""
        before = self.runs(item)
        number = next(
            number
            for number, replica in enumerate(self.site.replicas)
            if replica.running
        )
        self.site.crash(number)
        wait_for('it goes on', lambda: self.runs(item) > before)

    def test_many_crashes(self):
        """An item under which each replica has crashed is run to its end."""
        self.site.item_headers = dict(PARTS)
        self.site.submit('one', 'j', [LONG_ITEM])
        wait_for('it runs', lambda: self.runs('j-0') == 1)
        for _ in range(CRASHES):
            self.crash_under('j-0')
        self.assertEqual(['j-0'], self.wait_done('two', 'j', 1))
        self.assertEqual([], self.log_lines('"crash_suspected"'))
        self.assertEqual(200, self.online_status())

    @params('item', 'part', 'both')
    def test_known_crashes(self, of):
        """Strikes that the store has before the job comes hold back no item.

        Those of a part still hold back requests until output clears it.
        """
        item = fingerprint_of('', 'POST', HOST, '/lots/0', SHORT_ITEM.encode())
        keys = {'item': [item], 'part': [prompt_part_key('m', 'b')]}
        found = keys.get(of) or [*keys['item'], *keys['part']]
        for key in found:
            self.store_strikes(key)
        wait_for('known', lambda: len(self.quarantined()) == 2 * len(found))
        if of != 'item':
            self.assertEqual(503, self.online_status())
        self.site.item_headers = dict(PARTS)
        self.site.submit('one', 'j', [SHORT_ITEM])
        self.assertEqual(['j-0'], self.wait_done('two', 'j', 1))
        self.assertEqual(200, self.online_status())

    def quarantined(self) -> list[str]:
        """Return the lines of all entries about new quarantines."""
        return self.log_lines('"quarantined"')

    def online_status(self) -> int:
        """Return the status of an online request with the parts."""
        sent = {'X-Attempt-Id': 'r', 'X-Model': 'm', **PARTS}
        sent['X-Request-Deadline'] = '4000'
        return self.site.call('one', 'POST', ON, b'3 0.01', sent)[0]

    def store_strikes(self, key: str) -> None:
        """Store as many strikes of a request or part as an entry would."""
        for number in range(CRASHES):
            row = strike_write(
                STRIKES_PREFIX,
                Strike(key, f'l{number}', Stage.started, time.time(), 'r', 1),
            )
            place = SimpleNamespace(**key_fields(row.key))
            self.site.store.put((place.table, place.part, place.key), row.value)

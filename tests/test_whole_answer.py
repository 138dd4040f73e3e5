"""Each caller gets the complete response to its own request or an error."""

import gevent
from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from cactusridge import wire
from standins.faults import Fault, FaultKind
from tests.rig_calls import TOKEN
from tests.rig_case import RigCase

FAULT_KINDS = (FaultKind.lose_answer, FaultKind.cut, FaultKind.cross)


class TestWholeAnswer(RigCase):
    """Engines lose, truncate or swap responses."""

    def stream(self, text: str, tokens: int = 6) -> tuple[list[str], bool]:
        """Return a stream's events and whether it ended with ``[DONE]``."""
        message = {
            'model': 'yazman',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': tokens,
            'stream': True,
        }
        found = []
        resp = self.rig.http.send(
            self.rig.entries[0].address,
            '/v1/chat/completions',
            wire.encode(message),
            TOKEN,
        )
        try:
            while line := resp.readline(b'\n\n'):
                found.append(line.removeprefix(b'data: ').strip())
        except (HTTPParseError, OSError):
            return [each.decode() for each in found], False
        return [each.decode() for each in found], found[-1:] == [b'[DONE]']

    def test_many_at_once(self):
        """Each of 100 concurrent responses belongs to its request."""
        sent = [
            gevent.spawn(self.rig.chat, f'own {n}', n % 2) for n in range(100)
        ]
        gevent.joinall(sent, raise_error=True)
        engine = self.rig.engines[0].subject
        for number, each in enumerate(sent):
            wanted = engine.digest(f'own {number}')
            self.assertEqual(200, each.value.status, each.value)
            text = each.value.body['choices'][0]['message']['content']
            self.assertEqual(
                [f'{wanted}-{n}' for n in range(1, 5)],
                text.split(),
            )

    @params(*FAULT_KINDS)
    def test_whole_answer_breaks(self, kind):
        """A lost, truncated or swapped response is replaced by a retry."""
        self.rig.engines[0].subject.faults.add(Fault(kind, 'short', 1))
        self.rig.engines[1].subject.faults.add(Fault(kind, 'short', 1))
        answers = [self.rig.chat(f'short {n}') for n in range(6)]
        for number, answer in enumerate(answers):
            self.assertEqual(200, answer.status, answer)
            text = answer.body['choices'][0]['message']['content']
            digest = self.rig.engines[0].subject.digest(f'short {number}')
            wanted = [f'{digest}-{token}' for token in range(1, 5)]
            self.assertEqual(wanted, text.split())

    @params(FaultKind.lose_answer, FaultKind.short)
    def test_stream_cut_after_the_first_token(self, kind):
        """A broken stream ends with an error event and without ``[DONE]``."""
        for engine in self.rig.engines:
            cut = Fault(kind, 'broken', 1)
            engine.subject.faults.add(cut)
        found, whole = self.stream('broken stream')
        self.assertFalse(whole)
        self.assertIn('"error"', found[-1])
        self.assertEqual(2, len(found))

    def test_undisturbed_stream(self):
        """A stream without faults has six tokens and ends with ``[DONE]``."""
        found, whole = self.stream('fine')
        self.assertTrue(whole)
        self.assertEqual(7, len(found))

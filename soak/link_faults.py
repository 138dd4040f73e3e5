"""Proxies that delay, reset, cut one way, silence or refuse."""

import random

from soak.faults import Fault
from soak.world import World, every_link

DELAYS_S = (0.02, 0.4)


class LinkFault(Fault):
    """A fault of one proxy, drawn among all."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the proxy."""
        super().__init__(world, rng)
        links = every_link(world)
        number = rng.randrange(len(links))
        self.link = links[number]
        self.target = f'link {number}'


class Delay(LinkFault):
    """What goes through is late."""

    def begin(self) -> None:
        """Delay it."""
        self.link.delay_s = self.rng.uniform(*DELAYS_S)

    def end(self) -> None:
        """Delay nothing any more."""
        self.link.delay_s = 0


class Reset(LinkFault):
    """Open connections are reset."""

    def begin(self) -> None:
        """Reset them."""
        self.link.reset()


class Silence(LinkFault):
    """Open connections fall silent; new ones work."""

    def begin(self) -> None:
        """Pass nothing on."""
        self.link.silence()


class AnswersLost(LinkFault):
    """One way is cut: answers do not come."""

    def begin(self) -> None:
        """Lose them."""
        self.link.deaf = True

    def end(self) -> None:
        """Lose them no more; what was open is reset."""
        self.link.deaf = False
        self.link.reset()


class RequestsLost(LinkFault):
    """The other way is cut: requests do not arrive."""

    def begin(self) -> None:
        """Lose them."""
        self.link.mute = True

    def end(self) -> None:
        """Lose them no more; what was open is reset."""
        self.link.mute = False
        self.link.reset()


class Refuse(LinkFault):
    """Connections are ended and no new one is accepted."""

    def begin(self) -> None:
        """Refuse."""
        self.link.refusing = True
        self.link.cut()

    def end(self) -> None:
        """Accept again."""
        self.link.refusing = False

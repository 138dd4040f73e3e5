"""Network faults: delay, reset, data loss, silence and refusal."""

import random

from soak.faults import Fault
from soak.world import World, every_link

DELAYS_S = (0.02, 0.4)


class LinkFault(Fault):
    """A fault of one proxy, drawn from all proxies."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the proxy."""
        super().__init__(world, rng)
        links = every_link(world)
        number = rng.randrange(len(links))
        self.link = links[number]
        self.target = f'link {number}'


class Delay(LinkFault):
    """The proxy delays all data."""

    def begin(self) -> None:
        """Set a random delay."""
        self.link.delay_s = self.rng.uniform(*DELAYS_S)

    def end(self) -> None:
        """Remove the delay."""
        self.link.delay_s = 0


class Reset(LinkFault):
    """The proxy resets its open connections."""

    def begin(self) -> None:
        """Reset the open connections."""
        self.link.reset()


class Silence(LinkFault):
    """Open connections stop carrying data; new connections work."""

    def begin(self) -> None:
        """Stop forwarding on the open connections."""
        self.link.stall_connections()


class AnswersLost(LinkFault):
    """The proxy drops responses but forwards requests."""

    def begin(self) -> None:
        """Start to drop responses."""
        self.link.drop_responses = True

    def end(self) -> None:
        """Stop dropping responses and reset open connections."""
        self.link.drop_responses = False
        self.link.reset()


class RequestsLost(LinkFault):
    """The proxy drops requests but forwards responses."""

    def begin(self) -> None:
        """Start to drop requests."""
        self.link.drop_requests = True

    def end(self) -> None:
        """Stop dropping requests and reset open connections."""
        self.link.drop_requests = False
        self.link.reset()


class Refuse(LinkFault):
    """The proxy closes open connections and refuses new ones."""

    def begin(self) -> None:
        """Refuse new connections and close the open ones."""
        self.link.refusing = True
        self.link.shut_down_connections()

    def end(self) -> None:
        """Accept connections again."""
        self.link.refusing = False

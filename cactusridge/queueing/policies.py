"""The classes of the policy for requests that cannot start now."""

from types import MappingProxyType

from cactusridge.dispatch.queueing import NoQueueing, Queueing
from cactusridge.queueing.admission_queue import AdmissionQueue

QUEUEINGS: MappingProxyType[str, type[Queueing]] = MappingProxyType(
    {'fair': AdmissionQueue, 'none': NoQueueing}
)

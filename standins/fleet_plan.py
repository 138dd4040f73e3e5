"""What a fleet of processes is to be like."""

from typing import Any, NamedTuple


class FleetPlan(NamedTuple):
    """How many processes of each kind, and what differs from the demo."""

    entries: int = 2
    sidecars: int = 4
    entry_ports: tuple[int, ...] = ()
    entry_extra: dict[str, Any] = {}
    sidecar_extra: dict[str, Any] = {}
    slots: int = 8
    engine_speed: dict[str, float] = {}
    engine_speeds: dict[int, dict[str, float]] = {}
    fencing_engines: tuple[int, ...] = ()

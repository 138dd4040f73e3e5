"""The configuration of a local fleet of processes."""

from typing import Any, NamedTuple


class FleetPlan(NamedTuple):
    """Numbers of processes and the settings that differ from the demo's.

    ``engine_speeds`` overrides ``engine_speed`` by engine number;
    ``fencing_engines`` are the numbers of the engines that check fencing
    numbers.
    """

    entries: int = 2
    sidecars: int = 4
    entry_ports: tuple[int, ...] = ()
    entry_extra: dict[str, Any] = {}
    sidecar_extra: dict[str, Any] = {}
    slots: int = 8
    engine_speed: dict[str, float] = {}
    engine_speeds: dict[int, dict[str, float]] = {}
    fencing_engines: tuple[int, ...] = ()

"""The parts of messages about replicas."""

from collections.abc import Mapping
from typing import Any

from cactusridge.peers.audience import Group
from cactusridge.peers.load import NO_LOAD, Load


def encode_counts(loads: Mapping[str, Load]) -> dict[str, list[int]]:
    """Return counts by incarnation key as plain values."""
    return {incarnation: list(load) for incarnation, load in loads.items()}


def part_of(whole: Mapping[str, Any], group: Group) -> dict[str, Any]:
    """Return the part of ``whole`` about the replicas of a group."""
    return {key: whole[key] for key in group.incarnations if key in whole}


def decode_counts(raw: dict[str, list[int]]) -> dict[str, Load]:
    """Return the counts in a message; raises TypeError if malformed."""
    return {key: Load(*pair) for key, pair in raw.items()}


def changed_counts(
    before: Mapping[str, Load], now: Mapping[str, Load]
) -> dict[str, Load]:
    """Return the counts that differ from those before, also zeros."""
    return {
        key: now.get(key, NO_LOAD)
        for key in now.keys() | before.keys()
        if now.get(key) != before.get(key)
    }


def parts_of(
    wholes: Mapping[str, Mapping[str, Any]], group: Group
) -> dict[str, Any]:
    """Return the parts of each of ``wholes``, without empty ones."""
    parts = {topic: part_of(whole, group) for topic, whole in wholes.items()}
    return {topic: part for topic, part in parts.items() if part}

"""Copies of layers beyond the first full set, which take the load of a surge.

Load pattern: demand rises to several times the usual within a second. Memory then holds
too few requests, and first stages too few callers, while the rest of the memory holds
further copies of the layers.
"""

from collections.abc import Mapping, Sequence
from itertools import accumulate
from math import ceil

from persimmonwell.core.forwarding._devices import (
    Device,
    count_copies,
    layer_capacity,
    max_kv_tokens,
    total_layer_capacity,
)
from persimmonwell.core.forwarding._model import EngineSpec, HeldLayers

COPY_RESERVE_REQUESTS = 100
"""Requests for which a copy reserves KV memory. Copies lie on the slower devices, where
a request stays longer, so that they need more than the first set."""
MIN_FULL_COPIES = 2
"""Full sets of layers that have to remain beside the first one when copies get a larger
reserve; with fewer, the loss of two replicas can stop a zone."""


def _request_tokens(spec: EngineSpec) -> float:
    """Return the mean tokens in the KV cache of a request, whose output grows."""
    return spec.typical_prompt_tokens + spec.typical_output_tokens / 2


def copy_kv_tokens(devices: list[Device], spec: EngineSpec, kv_tokens: float) -> float:
    """Return the KV reserve of the devices that hold copies, at least kv_tokens."""
    needed_layers = MIN_FULL_COPIES * spec.layers
    if total_layer_capacity(devices, spec, kv_tokens) < needed_layers:
        return kv_tokens
    reserve_tokens = COPY_RESERVE_REQUESTS * _request_tokens(spec)
    return max(
        kv_tokens, min(reserve_tokens, max_kv_tokens(devices, spec, needed_layers))
    )


def add_copies(
    devices: list[Device],
    target: Mapping[str, HeldLayers],
    spec: EngineSpec,
    kv_tokens: float,
) -> dict[str, HeldLayers]:
    """Let empty devices copy the layers with the fewest copies.

    Each layer needs a copy first, since the loss of the only one stops a zone.
    """
    target = dict(target)
    for device in devices:
        if device.replica.replica_id in target:
            continue
        count = layer_capacity(device, spec, kv_tokens)
        if count <= 0:
            continue
        # Ties go to the lowest start: copies of the first stage also add slots for
        # callers.
        start = _min_sum_start(count_copies(target, spec), count)
        target[device.replica.replica_id] = HeldLayers(start, start + count)
    return target


def add_surge_copies(
    devices: list[Device],
    target: Mapping[str, HeldLayers],
    spec: EngineSpec,
    reserves: Mapping[str, float],
) -> dict[str, HeldLayers]:
    """Let empty devices hold first stages, then the layers with the least KV memory.

    reserves are the KV tokens by replica id.
    """
    target = dict(target)
    counts = {
        device.replica.replica_id: layer_capacity(
            device, spec, reserves[device.replica.replica_id]
        )
        for device in devices
    }
    empty_devices = sorted(
        (
            device
            for device in devices
            if device.replica.replica_id not in target
            and counts[device.replica.replica_id] > 0
        ),
        key=lambda device: (device.memory_mb, device.replica.replica_id),
    )
    missing = _needed_first_stages(devices, counts, spec) - sum(
        layers.start == 0 for layers in target.values()
    )
    room_tokens = [0] * spec.layers

    def add_room(device: Device, layers: HeldLayers) -> None:
        # Whole tokens, so that equal ranges compare as equal and the first one is
        # taken; ranges that begin together make chains with fewer stages.
        tokens = int(device.kv_tokens(layers.count, spec))
        for layer in range(layers.start, min(layers.stop, spec.layers)):
            room_tokens[layer] += tokens

    for device in devices:
        held = target.get(device.replica.replica_id)
        if held is not None and held.count > 0:
            add_room(device, held)
    # The smallest devices are first stages, which need slots more than memory. The
    # largest of the others come first, as the smaller ones fill what is left.
    first_stages = empty_devices[: max(0, missing)]
    others = empty_devices[len(first_stages) :]
    for device in (*first_stages, *reversed(others)):
        count = counts[device.replica.replica_id]
        start = 0
        if device not in first_stages:
            start = _min_sum_start(room_tokens, count)
        layers = HeldLayers(start, start + count)
        target[device.replica.replica_id] = layers
        add_room(device, layers)
    return target


def _min_sum_start(amounts: Sequence[int], count: int) -> int:
    """Return the first start of the range whose layers have the smallest sum."""
    sums = [0, *accumulate(amounts)]
    return min(
        range(len(amounts) - count + 1),
        key=lambda start: sums[start + count] - sums[start],
    )


def _needed_first_stages(
    devices: list[Device], counts: Mapping[str, int], spec: EngineSpec
) -> int:
    """Return the first stages whose slots take the requests that fit into memory."""
    tokens = sum(
        device.kv_tokens(count, spec) * count
        for device in devices
        if (count := counts[device.replica.replica_id]) > 0
    )
    return ceil(tokens / spec.layers / _request_tokens(spec) / max(1, spec.slots))

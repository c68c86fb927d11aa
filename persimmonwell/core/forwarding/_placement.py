"""Placement of model layers on the replicas of each availability zone.

Replicas start empty and lose their layers with every restart. Each zone needs every
layer, since activations that cross zones would saturate the link between them at some
25 requests a second.
"""

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

import attrs

from persimmonwell.core.forwarding._devices import (
    Device,
    count_copies,
    layer_capacity,
    max_kv_tokens,
    total_layer_capacity,
)
from persimmonwell.core.forwarding._layer_copies import (
    add_copies,
    add_surge_copies,
    copy_kv_tokens,
)
from persimmonwell.core.forwarding._model import EngineSpec, HeldLayers, Replica

REPLICATION_FACTOR = 1.3
"""Minimum ratio of layers placed in a zone to layers of the model. The surplus are
copies that take over when a stage dies; with 1.0 each crash stops the whole zone."""
KV_RESERVE_REQUESTS = 48
"""Typical requests for which a stage reserves KV memory. A larger reserve moves layers
off the fast accelerators, which slows down every request, so that a crash interrupts
more of them."""
MIN_KV_TOKENS = 4_000.0
"""KV memory for a few typical requests; with less a zone cannot serve."""


class PlacementScope(Enum):
    """How much of a zone's layout the change affects that an order belongs to."""

    FILL = "fill"
    """An empty replica loads layers."""
    MOVE = "move"
    """A replica whose layers have other copies moves to missing layers."""
    REPARTITION = "lay_out_again"
    """All replicas of a zone get new ranges of layers."""


@attrs.frozen
class PlacementOrder:
    """Order for one replica to hold a range of layers.

    Layers are unloaded only in a zone that lacks others. No request can complete there,
    so none is lost by interrupting those in flight.
    """

    replica_id: str
    address: str
    layers: HeldLayers
    scope: PlacementScope


def plan_placement(
    replicas: Iterable[Replica],
    spec: EngineSpec,
    *,
    requests_at: Callable[[str], int] = lambda replica_id: 0,
) -> tuple[PlacementOrder, ...]:
    """Return the orders that give every zone all layers of a service's model.

    A zone without memory for a whole model is planned together with the next zone.
    requests_at returns the requests in flight at a replica. A model without layers
    needs no orders.
    """
    if spec.layers == 0:
        return ()
    orders: list[PlacementOrder] = []
    for devices in _group_zones(replicas, spec):
        target, is_repartition = _plan_group(devices, spec, requests_at)
        for device in devices:
            layers = target.get(device.replica.replica_id)
            if (
                layers is None
                or layers == device.replica.layers
                or device.replica.is_busy
            ):
                continue
            orders.append(
                PlacementOrder(
                    replica_id=device.replica.replica_id,
                    address=device.replica.address,
                    layers=layers,
                    scope=_scope_of(device, is_repartition),
                )
            )
    return tuple(orders)


def _scope_of(device: Device, is_repartition: bool) -> PlacementScope:
    held = device.replica.layers
    if held is None or held.count == 0:
        return PlacementScope.FILL
    return PlacementScope.REPARTITION if is_repartition else PlacementScope.MOVE


def _group_zones(replicas: Iterable[Replica], spec: EngineSpec) -> list[list[Device]]:
    zones: dict[str, list[Device]] = {}
    for replica in sorted(replicas, key=lambda entry: entry.replica_id):
        kind = spec.accelerator(replica.accelerator)
        if kind is None or replica.is_draining:
            continue
        device = Device(replica, kind.memory_mb, kind.step_factor, kind.prefill_factor)
        zones.setdefault(replica.availability_zone, []).append(device)
    groups: list[list[Device]] = []
    pending: list[Device] = []
    for zone in sorted(zones):
        pending += zones[zone]
        if total_layer_capacity(pending, spec, MIN_KV_TOKENS) >= spec.layers:
            groups.append(pending)
            pending = []
    if pending and groups:
        groups[-1] += pending
    return groups


def _plan_group(
    devices: list[Device], spec: EngineSpec, requests_at: Callable[[str], int]
) -> tuple[dict[str, HeldLayers], bool]:
    """Return the target layers by replica id, and whether the zone is repartitioned."""
    is_repartition = False
    held = {
        device.replica.replica_id: device.replica.layers
        for device in devices
        if device.replica.layers is not None and device.replica.layers.count > 0
    }
    reserve_tokens = KV_RESERVE_REQUESTS * (
        spec.typical_prompt_tokens + spec.typical_output_tokens
    )
    kv_tokens = max(
        min(
            reserve_tokens,
            max_kv_tokens(devices, spec, spec.layers * REPLICATION_FACTOR),
        ),
        min(MIN_KV_TOKENS, max_kv_tokens(devices, spec, spec.layers)),
    )
    fastest = _fastest_devices(devices, spec, kv_tokens)
    if not held:
        # The slowest of them is the first stage: it takes the callers' connections, and
        # layers on a small device can be copied by the remaining ones.
        target = _assign_ranges(fastest, spec, kv_tokens, from_end=True)
    else:
        target = _fill_gaps(devices, held, spec, kv_tokens, requests_at)
        if _first_gap(count_copies(target, spec)) is not None:
            in_order = sorted(
                devices, key=lambda device: _held_start(device, held, spec)
            )
            kv_tokens = max_kv_tokens(devices, spec, spec.layers)
            target = _assign_ranges(in_order, spec, kv_tokens)
            is_repartition = True
    copy_devices = [device for device in devices if device not in fastest]
    copy_tokens = copy_kv_tokens(copy_devices, spec, kv_tokens)
    if copy_tokens <= kv_tokens:
        return add_copies(devices, target, spec, kv_tokens), is_repartition
    reserves = {
        device.replica.replica_id: copy_tokens if device in copy_devices else kv_tokens
        for device in devices
    }
    return add_surge_copies(devices, target, spec, reserves), is_repartition


def _held_start(
    device: Device, held: Mapping[str, HeldLayers], spec: EngineSpec
) -> int:
    layers = held.get(device.replica.replica_id)
    return layers.start if layers is not None else spec.layers


def _fastest_devices(
    devices: list[Device], spec: EngineSpec, kv_tokens: float
) -> list[Device]:
    """Return the fastest devices that together hold the whole model."""
    by_speed = sorted(devices, key=lambda device: _layer_ms(device, spec, kv_tokens))
    chosen: list[Device] = []
    for device in by_speed:
        if total_layer_capacity(chosen, spec, kv_tokens) >= spec.layers:
            break
        chosen.append(device)
    return chosen


def _layer_ms(device: Device, spec: EngineSpec, kv_tokens: float) -> float:
    """Return the time of one layer for one token, with its share of the hop delay."""
    count = layer_capacity(device, spec, kv_tokens)
    if count == 0:
        return float("inf")
    prefill_ms = (
        spec.typical_prompt_tokens
        / spec.prefill_tokens_per_s
        * 1000
        * device.prefill_factor
    )
    per_layer_ms = (
        spec.step_ms * device.step_factor + prefill_ms / spec.typical_output_tokens
    )
    return per_layer_ms / spec.layers + spec.hop_delay_ms / count


def _assign_ranges(
    devices: list[Device],
    spec: EngineSpec,
    kv_tokens: float,
    *,
    from_end: bool = False,
) -> dict[str, HeldLayers]:
    """Assign consecutive ranges of layers to the devices in order."""
    target: dict[str, HeldLayers] = {}
    assigned = 0
    for device in devices:
        count = min(layer_capacity(device, spec, kv_tokens), spec.layers - assigned)
        if count <= 0:
            continue
        start = spec.layers - assigned - count if from_end else assigned
        target[device.replica.replica_id] = HeldLayers(start, start + count)
        assigned += count
    return target


def _first_gap(copies: list[int]) -> tuple[int, int] | None:
    if 0 not in copies:
        return None
    start = copies.index(0)
    stop = start
    while stop < len(copies) and copies[stop] == 0:
        stop += 1
    return start, stop


def _fill_gaps(
    devices: list[Device],
    held: Mapping[str, HeldLayers],
    spec: EngineSpec,
    kv_tokens: float,
    requests_at: Callable[[str], int],
) -> dict[str, HeldLayers]:
    """Fill gaps with empty devices first, then with devices that only hold copies.

    Each step fills a layer and opens none, as a device that moves leaves only layers
    with other copies; devices without room for a layer are left out.
    """
    target = dict(held)
    devices = [
        device for device in devices if layer_capacity(device, spec, kv_tokens) > 0
    ]
    empty_devices = [
        device for device in devices if device.replica.replica_id not in held
    ]
    empty_devices.sort(
        key=lambda device: (
            -layer_capacity(device, spec, kv_tokens),
            device.step_factor,
        )
    )
    copies = count_copies(target, spec)
    while (gap := _first_gap(copies)) is not None:
        device = (
            empty_devices.pop(0)
            if empty_devices
            else _least_used_redundant(devices, target, copies, requests_at)
        )
        if device is None:
            break
        count = layer_capacity(device, spec, kv_tokens)
        start = gap[0] if gap[1] - gap[0] >= count else max(0, gap[1] - count)
        start = min(start, spec.layers - count)
        target[device.replica.replica_id] = HeldLayers(start, start + count)
        copies = count_copies(target, spec)
    return target


def _least_used_redundant(
    devices: list[Device],
    target: Mapping[str, HeldLayers],
    copies: list[int],
    requests_at: Callable[[str], int],
) -> Device | None:
    """Return the device with the fewest requests whose layers all have other copies."""
    redundant = []
    for device in devices:
        layers = target.get(device.replica.replica_id)
        if layers is None or device.replica.is_busy:
            continue
        if min(copies[layers.start : layers.stop], default=0) >= 2:
            redundant.append(device)
    return min(
        redundant,
        key=lambda device: (requests_at(device.replica.replica_id), -device.memory_mb),
        default=None,
    )

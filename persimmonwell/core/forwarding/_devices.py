"""Memory of the devices that hold a model's layers and the KV cache of requests."""

from collections.abc import Iterable, Mapping

import attrs

from persimmonwell.core.forwarding._model import EngineSpec, HeldLayers, Replica

BISECTION_STEPS = 24
"""Steps that narrow the KV reserve down to less than a token."""


@attrs.frozen
class Device:
    """Replica with the memory and the speed of its accelerator."""

    replica: Replica
    memory_mb: float
    step_factor: float
    prefill_factor: float

    def kv_tokens(self, layers: int, spec: EngineSpec) -> float:
        """Return the tokens whose KV cache fits beside that many layers."""
        free_mb = self.memory_mb - layers * spec.layer_mb
        return max(0.0, free_mb / layers / spec.kv_mb_per_layer_token)


def layer_capacity(device: Device, spec: EngineSpec, kv_tokens: float) -> int:
    """Return the layers that fit, each with the KV cache of that many tokens."""
    return layers_in_memory(device.memory_mb, spec, kv_tokens)


def layers_in_memory(memory_mb: float, spec: EngineSpec, kv_tokens: float) -> int:
    """Return the layers that fit into the memory of one accelerator."""
    per_layer_mb = spec.layer_mb + kv_tokens * spec.kv_mb_per_layer_token
    return min(spec.layers, int(memory_mb / per_layer_mb))


def total_layer_capacity(
    devices: Iterable[Device], spec: EngineSpec, kv_tokens: float
) -> int:
    """Return the sum of the devices' layer capacities."""
    return sum(layer_capacity(device, spec, kv_tokens) for device in devices)


def max_kv_tokens(devices: list[Device], spec: EngineSpec, layers: float) -> float:
    """Return the largest KV reserve with which the devices hold that many layers."""
    low, high = 0.0, 1e7
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if total_layer_capacity(devices, spec, middle) >= layers:
            low = middle
        else:
            high = middle
    return low


def count_copies(target: Mapping[str, HeldLayers], spec: EngineSpec) -> list[int]:
    """Return how many replicas hold each layer."""
    copies = [0] * spec.layers
    for layers in target.values():
        for layer in range(layers.start, min(layers.stop, spec.layers)):
            copies[layer] += 1
    return copies

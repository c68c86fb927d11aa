"""Tests of the bound on callers' connections, with connections in memory."""

import asyncio
from typing import Any

import pytest

from persimmonwell.core.forwarding import ForwardingRouter
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.observe import DecisionLog

BOUND = 4


class _Transport(asyncio.Transport):
    def __init__(self, protocol: CallerConnection) -> None:
        super().__init__()
        self.protocol = protocol
        self.is_open = True

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        pass

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return not self.is_open

    def abort(self) -> None:
        if self.is_open:
            self.is_open = False
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        self.abort()


@pytest.mark.parametrize("may_be_evicted", [True, False])
def test_callers_are_bounded_and_the_last_ones_counted(may_be_evicted: bool) -> None:
    """Guards against callers that take all descriptors of the process.

    Idle ones are closed for new ones. Where none may be closed, the new ones are
    refused.
    """

    async def run() -> None:
        router = ForwardingRouter(
            availability_zone="za",
            seed=1,
            retry_ratio=0.2,
            retry_slack=20.0,
            retry_window_s=10.0,
        )
        gateway = Gateway(
            router=router, log=DecisionLog(host_id="h"), seed=1, caller_bound=BOUND
        )
        gateway._callers._may_be_evicted = lambda caller: may_be_evicted
        transports = []
        for _ in range(10):
            connection = gateway.create_caller_connection()
            transport = _Transport(connection)
            connection.connection_made(transport)
            transports.append(transport)
            await asyncio.sleep(0)
            assert gateway.caller_connection_count <= BOUND
        is_open = [transport.is_open for transport in transports]
        kept = [True] * BOUND + [False] * 6
        assert is_open == (kept[::-1] if may_be_evicted else kept)
        action = "terminated" if may_be_evicted else "refused"
        labels = f'{{action="{action}",reason="callers_full"}}'
        assert f"persimmonwell_gateway_clients_total{labels} 6" in (
            gateway.metrics.render().decode()
        )
        gateway.close()
        await asyncio.sleep(0)
        assert gateway.caller_connection_count == 0

    asyncio.run(run())

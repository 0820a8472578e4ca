"""Tests that decoding a configuration does not delay other tasks."""

from __future__ import annotations

import time
from typing import Any

import pytest
import trio
from result import Ok, Result

from briardyke.routes.configuration import ServingConfiguration
from briardyke.routes.decoding import decode_configuration_beside

DECODING_S = 0.4


def slow_decode(document: bytes) -> Result[ServingConfiguration, Any]:
    time.sleep(DECODING_S)
    return Ok(ServingConfiguration(len(document), (), {}))


class TestDecodeConfigurationBeside:
    """Covers documents that take long to decode."""

    async def test_other_tasks_go_on_beside_a_large_document(self) -> None:
        ticks = 0

        async def tick() -> None:
            nonlocal ticks
            while True:
                await trio.sleep(DECODING_S / 20)
                ticks += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(tick)
            decoded = await decode_configuration_beside(slow_decode, bytes(10**6))
            nursery.cancel_scope.cancel()
        assert decoded.unwrap().version == 10**6
        assert ticks >= 3

    @pytest.mark.parametrize("size_bytes", [0, 10**6])
    async def test_result_is_that_of_the_decoder(self, size_bytes: int) -> None:
        decoded = await decode_configuration_beside(
            lambda document: Ok(ServingConfiguration(len(document), (), {})), bytes(size_bytes)
        )
        assert decoded.unwrap().version == size_bytes

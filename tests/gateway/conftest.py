"""Fixtures for the tests of this folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import Gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    """Yield a gateway that accepts connections."""
    async with trio.open_nursery() as nursery:
        running = Gateway(nursery)
        await running.start()
        yield running
        nursery.cancel_scope.cancel()

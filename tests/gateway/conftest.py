"""Share a running gateway between the tests of this folder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
from gateway_support import Gateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def gateway() -> AsyncIterator[Gateway]:
    """Return a gateway that listens."""
    async with trio.open_nursery() as nursery:
        found = Gateway(nursery)
        await found.start()
        yield found
        nursery.cancel_scope.cancel()

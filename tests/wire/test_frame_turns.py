"""Test that many short frames leave the event loop to others."""

from __future__ import annotations

import trio
from trio.testing import memory_stream_pair

from briardyke.wire.frames import ONE_WAY_ID, FrameStream

FRAMES = 5000
# A frame is decoded and handled in some tens of microseconds, so this is about 5 ms.
BOUND_FRAMES = 200


class TestFrameTurns:
    """Guards against a peer whose one read of thousands of short messages holds up all others."""

    async def test_others_run_between_frames_of_one_read(self) -> None:
        sender, receiver = memory_stream_pair()
        frames = FrameStream(sender)
        for _ in range(FRAMES):
            await frames.send(ONE_WAY_ID, False, b"")
        await sender.send_eof()
        received, most = 0, 0

        async def read() -> None:
            nonlocal received
            reader = FrameStream(receiver)
            while await reader.receive() is not None:
                received += 1
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            while True:
                before = received
                await trio.lowlevel.checkpoint()
                most = max(most, received - before)
        assert received == FRAMES
        assert most <= BOUND_FRAMES

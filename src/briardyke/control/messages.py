"""Define the messages between control processes, other than those of the consensus protocol."""

from __future__ import annotations

import attrs

from briardyke.wire.codec import message


@message
@attrs.frozen
class ForwardCommand:
    """Ask the leader of a group to propose a command.

    :param group_id: consensus group.
    :param command: encoded command.
    :param timeout_ms: longest wait for the commit.
    """

    group_id: str
    command: bytes
    timeout_ms: float


@message
@attrs.frozen
class CommandResult:
    """Reply to a :class:`ForwardCommand`.

    :param index: log index of the command.
    :param result: what the state machine returned.
    """

    index: int
    result: bytes

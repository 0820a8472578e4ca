"""Tests of the choice of the entry instance that serves the callers of another one."""

from __future__ import annotations

import random
from collections import Counter

from briardyke.fleet.records import EntryInstance
from briardyke.peer_relay.choice import choose_peer


def entry(
    instance_id: str, data_centre: str = "a", capacity_per_s: float = 50.0, *, reaches: bool = True
) -> EntryInstance:
    return EntryInstance(
        *(instance_id, 1, 1, "127.0.0.1:1", data_centre, True),
        capacity_per_s=capacity_per_s,
        reaches_upstreams=reaches,
    )


def drawn(entries: list[EntryInstance], excluded: tuple[str, ...] = ()) -> Counter[str]:
    generator = random.Random(1)
    peers = [choose_peer(entries, "a", excluded, generator) for _ in range(600)]
    return Counter(peer.instance_id for peer in peers if peer is not None)


class TestChoosePeer:
    """The draw among the ready instances."""

    def test_instances_without_links_and_excluded_ones_are_not_drawn(self) -> None:
        entries = [entry("own"), entry("lost", reaches=False), entry("tried"), entry("sound")]
        assert set(drawn(entries, ("own", "tried"))) == {"sound"}

    def test_none_is_left_when_all_have_lost_their_links(self) -> None:
        assert drawn([entry("own"), entry("lost", reaches=False)], ("own",)) == Counter()

    def test_remains_of_a_data_centre_do_not_carry_all(self) -> None:
        counts = drawn([entry("near"), *(entry(f"far{i}", "b") for i in range(4))])
        assert 150 < counts["near"] < 250

    def test_requests_follow_capacity(self) -> None:
        counts = drawn([entry("small", capacity_per_s=20.0), entry("large", capacity_per_s=100.0)])
        assert counts["large"] > 3 * counts["small"] > 0

"""Measure what requests for the tokens of quotas cost the leader.

Run from the root of the tree: ``PYTHONPATH=src python bench/quotas.py``.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from briardyke.accounts.types import AccountQuota
from briardyke.quotas.bounds import QuotaBounds
from briardyke.quotas.leader import LeaderBuckets
from briardyke.quotas.messages import AccountDemand, QuotaReply, QuotaRequest, ReturnedTokens
from briardyke.wire.codec import decode, encode

BOUNDS = QuotaBounds(8.0, 0.1, 11_000.0)
QUOTA = AccountQuota(122_585.0, 122_585.0, True, 200)
REQUESTS = 20_000
# Requests a second of 88 entry instances in the replay of one hot account, rounded up.
PER_S = 500.0


def buckets(accounts: int) -> LeaderBuckets:
    """Return buckets that are half full."""
    leader = LeaderBuckets(BOUNDS, 1)
    leader.update_quotas({f"account-{n}": QUOTA for n in range(accounts)}, 0.0)
    return leader


def request(source: random.Random, accounts: int, demands: int, now_ms: float) -> QuotaRequest:
    """Return a request of an instance; a tenth of the demands return tokens of seconds ago."""
    rows = []
    for _ in range(demands):
        returned = [ReturnedTokens(1, now_ms - source.uniform(500.0, 5000.0), 1660.0)]
        rows.append(
            AccountDemand(
                f"account-{source.randrange(accounts)}",
                [1660.0],
                0.0,
                returned if source.random() < 0.1 else [],
            )
        )
    return QuotaRequest("entry-17", rows)


def measure(accounts: int, demands: int) -> None:
    """Print the cost of a request with some demands."""
    source = random.Random(7)
    leader = buckets(accounts)
    now_ms, answer_s, codec_s, sizes = 10_000.0, 0.0, 0.0, [0, 0]
    for _ in range(REQUESTS):
        now_ms += 1000.0 / PER_S
        data = encode(request(source, accounts, demands, now_ms))
        began_s = time.process_time()
        received = decode(data).unwrap()
        decoded_s = time.process_time()
        reply: QuotaReply = leader.answer(received, now_ms)
        answered_s = time.process_time()
        sent = encode(reply)
        codec_s += decoded_s - began_s + time.process_time() - answered_s
        answer_s += answered_s - decoded_s
        sizes = [sizes[0] + len(data), sizes[1] + len(sent)]
    answer_us, codec_us = answer_s / REQUESTS * 1e6, codec_s / REQUESTS * 1e6
    print(
        f"{accounts} accounts, {demands} demands: decision {answer_us:.1f} us, "
        f"reading and writing {codec_us:.1f} us, request {sizes[0] / REQUESTS:.0f} bytes, "
        f"reply {sizes[1] / REQUESTS:.0f} bytes, {PER_S:.0f} a second take "
        f"{(answer_us + codec_us) * PER_S / 1e4:.1f}% of a core"
    )


def measure_memory(accounts: int) -> None:
    """Print the memory of buckets with full records."""
    tracemalloc.start()
    leader = buckets(accounts)
    for step in range(2000):
        demands = [AccountDemand(f"account-{n}", [1.0]) for n in range(accounts)]
        leader.answer(QuotaRequest("e", demands), 5.0 * step + 1.0)
    print(
        f"{accounts} accounts: {tracemalloc.get_traced_memory()[0] / accounts / 1024:.1f} KB each"
    )
    tracemalloc.stop()


if __name__ == "__main__":
    measure(16, 1)
    measure(16, 4)
    measure(1, 1)
    measure(1000, 1)
    measure_memory(16)

"""Ask which entry address to use and keep the answer for its time to live."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from briardyke.addresses import Address, parse_address
from briardyke.clock import now_ms
from briardyke.logs import log_debug

if TYPE_CHECKING:
    import random

    from briardyke.http.client import HttpClient
    from briardyke.loadtool.settings import LoadSettings

_ASK_TIMEOUT_MS = 1000.0
_AVOID_MS = 1000.0


class AddressBook:
    """Pick addresses by weight, avoiding those that failed a moment ago."""

    def __init__(
        self, settings: LoadSettings, client: HttpClient, random_source: random.Random
    ) -> None:
        """Start without an answer.

        :param settings: addresses to ask, and whether to use them directly.
        :param client: sends the question.
        :param random_source: picks by weight.
        """
        self._settings = settings
        self._client = client
        self._random = random_source
        self._weights: dict[Address, float] = {}
        self._expires_at_ms = float("-inf")
        self._failed_at_ms: dict[Address, float] = {}

    async def pick(self) -> Address:
        """Return an address for the next connection."""
        now = now_ms()
        if now >= self._expires_at_ms:
            await self._refresh()
        weights = self._weights or dict.fromkeys(self._settings.entry_addresses, 1.0)
        avoided = {a for a, at_ms in self._failed_at_ms.items() if now < at_ms + _AVOID_MS}
        usable = {a: w for a, w in weights.items() if a not in avoided} or weights
        return self._random.choices(list(usable), list(usable.values()))[0]

    def failed(self, address: Address) -> None:
        """Avoid an address for a short time."""
        self._failed_at_ms[address] = now_ms()

    async def _refresh(self) -> None:
        if self._settings.direct:
            self._expires_at_ms = float("inf")
            return
        target = f"/v1/addresses?data_centre={quote(self._settings.data_centre)}"
        for address in dict.fromkeys([*self._weights, *self._settings.entry_addresses]):
            asked_at_ms = now_ms()
            answered = await self._client.call("GET", address, target, timeout_ms=_ASK_TIMEOUT_MS)
            if answered.is_err() or answered.unwrap().status != 200:
                continue
            try:
                body = answered.unwrap().json()
                weights = {
                    parse_address(item["address"]): float(item["weight"])
                    for item in body["addresses"]
                }
                ttl_ms = float(body["ttl_ms"])
            except (ValueError, KeyError, TypeError):
                log_debug("address_response_invalid", address=address)
                continue
            # The time to live counts from the question, since the answer may have been slow.
            self._expires_at_ms = asked_at_ms + ttl_ms
            self._weights = {a: w for a, w in weights.items() if w > 0}
            return

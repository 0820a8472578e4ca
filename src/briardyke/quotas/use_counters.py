"""Count the use of quotas by account."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

# Accounts that are shown by name; the others are added up, since each name is a row of a page.
MAX_SHOWN = 20
OTHERS = "(others)"
# Accounts that are counted by name. Later ones are added up from the start.
_MAX_COUNTED = 1000


@attrs.define
class AccountUse:
    """Requests of one account.

    :param admitted: requests that were charged.
    :param tokens: what they counted, without refunds.
    :param refunded: tokens of those that no upstream has worked on.
    :param refused: requests that were not charged, by reason.
    """

    admitted: int = 0
    tokens: float = 0.0
    refunded: float = 0.0
    refused: dict[str, int] = attrs.field(factory=dict)

    def add(self, other: AccountUse) -> None:
        """Add the requests of another account."""
        self.admitted += other.admitted
        self.tokens += other.tokens
        self.refunded += other.refunded
        for reason, count in other.refused.items():
            self.refused[reason] = self.refused.get(reason, 0) + count

    @property
    def requests(self) -> int:
        """Return the number of requests."""
        return self.admitted + sum(self.refused.values())


class UseCounters:
    """Use of the accounts with quotas at one entry instance."""

    def __init__(self) -> None:
        self._rows: dict[str, AccountUse] = {}

    def admit(self, account: str, tokens: float) -> None:
        """Count a request that was charged."""
        row = self._row(account)
        row.admitted += 1
        row.tokens += tokens

    def refuse(self, account: str, reason: str) -> None:
        """Count a request that was not charged."""
        row = self._row(account)
        row.refused[reason] = row.refused.get(reason, 0) + 1

    def refund(self, account: str, tokens: float) -> None:
        """Count the tokens of a request that has not run."""
        self._row(account).refunded += tokens

    def shown(self) -> dict[str, AccountUse]:
        """Return the accounts with the most requests, and the sum of the others."""
        names = [name for name in self._rows if name != OTHERS]
        names.sort(key=lambda name: self._rows[name].requests, reverse=True)
        shown = {name: self._rows[name] for name in names[:MAX_SHOWN]}
        others = AccountUse()
        for name in names[MAX_SHOWN:]:
            others.add(self._rows[name])
        others.add(self._rows.get(OTHERS, AccountUse()))
        return shown | ({OTHERS: others} if others.requests else {})

    def figures(self, held: Mapping[str, float]) -> dict[str, list[tuple[float, dict[str, Any]]]]:
        """Return the rows of the metrics page.

        :param held: unspent credits by account.
        """
        shown = self.shown()
        credits_held = dict.fromkeys(shown, 0.0)
        for name, tokens in held.items():
            key = name if name in shown else OTHERS
            credits_held[key] = credits_held.get(key, 0.0) + tokens
        return {
            "gateway_account_admitted_total": [
                (float(row.admitted), {"account": name}) for name, row in shown.items()
            ],
            "gateway_account_refused_total": [
                (float(count), {"account": name, "reason": reason})
                for name, row in shown.items()
                for reason, count in row.refused.items()
            ],
            "gateway_account_tokens_total": [
                (row.tokens, {"account": name}) for name, row in shown.items()
            ],
            "gateway_account_refunded_tokens_total": [
                (row.refunded, {"account": name}) for name, row in shown.items()
            ],
            "gateway_account_credits": [
                (tokens, {"account": name}) for name, tokens in credits_held.items()
            ],
        }

    def _row(self, account: str) -> AccountUse:
        row = self._rows.get(account)
        if row is None:
            name = account if len(self._rows) < _MAX_COUNTED else OTHERS
            row = self._rows.setdefault(name, AccountUse())
        return row

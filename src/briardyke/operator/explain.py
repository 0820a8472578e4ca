"""Run ``briardyke-operator explain``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated, Any, NoReturn
from urllib.parse import urlencode

import trio
import typer

from briardyke.addresses import parse_address
from briardyke.exit_codes import ExitCode
from briardyke.http.client import HttpClient
from briardyke.operator.client import get_from

if TYPE_CHECKING:
    from result import Result

    from briardyke.addresses import Address
    from briardyke.errors import Failure

PATH = "/briardyke/explain"
# An entry instance asks up to three coordinators, each of which may take two seconds.
_TIMEOUT_MS = 7000.0
_HEADINGS = (
    *("upstream", "excluded", "load", "cost", "first_ms", "pause_ms", "ready_ms", "cached"),
    *("requests", "unread", "free_cache", "speed", "slowness"),
)


def explain(
    entry: Annotated[
        str,
        typer.Option(
            help="<ip>:<port> of the readiness or directory address of an entry instance."
        ),
    ],
    host: Annotated[str, typer.Option(help="Host header of the request.")],
    path: Annotated[str, typer.Option(help="Path of the request.")],
    account: Annotated[str, typer.Option(help="Name of its client account.")] = "",
    model: Annotated[str, typer.Option(help="Model, or MODEL/ADAPTER.")] = "",
    prompt_tokens: Annotated[int | None, typer.Option(min=0, help="Tokens of the prompt.")] = None,
    output_tokens: Annotated[
        int | None, typer.Option(min=0, help="Largest number of tokens of the response.")
    ] = None,
    prefix: Annotated[
        str, typer.Option(help="Parts of the prompt in order, ID:TOKENS,ID:TOKENS,...")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Explain where a request would go now, and why, without sending it."""
    try:
        address = parse_address(entry)
    except ValueError as error:
        _fail(f"--entry: {error}", ExitCode.SETTINGS_INVALID)
    if prefix and not all(_is_part(part) for part in prefix.split(",")):
        _fail("--prefix: expected ID:TOKENS,ID:TOKENS,...", ExitCode.SETTINGS_INVALID)
    named = {
        "host": host,
        "path": path,
        "account": account,
        "model": model,
        "prompt_tokens": "" if prompt_tokens is None else str(prompt_tokens),
        "output_tokens": "" if output_tokens is None else str(output_tokens),
        "prefix": prefix,
    }
    query = urlencode({name: value for name, value in named.items() if value})
    result = trio.run(_ask, address, f"{PATH}?{query}")
    if result.is_err():
        failure = result.unwrap_err()
        _fail(f"{failure.kind.value}: {failure.message}", ExitCode.REQUEST_FAILED)
    body = result.unwrap()
    if as_json:
        typer.echo(json.dumps(body, indent=2, ensure_ascii=False))
        return
    try:
        text = "\n".join([*_summary(body), "", *_table(body)])
    except (AttributeError, KeyError, TypeError, ValueError):
        _fail("the reply is not an explanation", ExitCode.REQUEST_FAILED)
    typer.echo(text)


async def _ask(address: Address, target: str) -> Result[Any, Failure]:
    http = HttpClient()
    try:
        return await get_from(http, address, target, _TIMEOUT_MS)
    finally:
        await http.aclose()


def _is_part(text: str) -> bool:
    name, _, tokens = text.rpartition(":")
    return bool(name.strip()) and tokens.strip().isdecimal()


def _fail(text: str, code: ExitCode) -> NoReturn:
    typer.echo(f"error: {text}", err=True)
    raise typer.Exit(code)


def _summary(body: dict[str, Any]) -> list[str]:
    targets = " ".join(f"{name}:{weight:g}" for name, weight in body["targets"].items())
    lines = [
        f"configuration {body['version']}, route {body['route']}, service {body['service']}"
        f" (of {targets})",
        f"account {body['account'] or '-'}, priority {body['priority']}",
        f"decided by {body['decided_by']}: {_outcome(body['outcome'], is_drawn=body['is_drawn'])}",
    ]
    coordinated = body["coordinated"]
    if coordinated is not None:
        lines.append(f"{coordinated['waiting']} waiting; {coordinated['decision']}")
        if coordinated["yields"]:
            lines.append("it yields to other requests: batch stream, or account above its share")
    return lines


def _outcome(outcome: dict[str, Any], *, is_drawn: bool) -> str:
    text = str(outcome["outcome"])
    if outcome["upstream_id"]:
        text += f" on {outcome['upstream_id']}"
        if is_drawn:
            text += " (drawn by load; the next draw may differ)"
    if outcome["expected_first_ms"]:
        text += f", first event in {outcome['expected_first_ms']:.0f} ms"
    if outcome["retry_after_ms"]:
        text += f", come back in {outcome['retry_after_ms']:.0f} ms"
    return text + (f", {outcome['reason']}" if outcome["reason"] else "")


def _table(body: dict[str, Any]) -> list[str]:
    """Return the upstreams in columns; figures of the coordinator are in the last ones."""
    coordinated = body["coordinated"] or {"candidates": [], "unknown_ids": []}
    figures = {c["upstream_id"]: c for c in coordinated["candidates"]}
    rows: list[tuple[str, ...]] = [_HEADINGS]
    for upstream in body["upstreams"]:
        name, excluded = upstream["upstream_id"], upstream["excluded"]
        if excluded and upstream["free_in_ms"]:
            excluded += f" for {upstream['free_in_ms']:.0f} ms"
        if not excluded and name in coordinated["unknown_ids"]:
            excluded = "not known to the coordinator"
        candidate = figures.get(name)
        if candidate is not None:
            excluded = excluded or candidate["rule"]
        rows.append(
            (name, excluded or "-", f"{upstream['load']:.1f}", *_figures(candidate)),
        )
    if not body["coordinated"]:
        rows = [row[:3] for row in rows]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _figures(candidate: dict[str, Any] | None) -> tuple[str, ...]:
    if candidate is None:
        return ("-",) * (len(_HEADINGS) - 3)
    ready_ms = candidate["ready_ms"]
    return (
        f"{candidate['cost']:.3f}",
        f"{candidate['first_ms']:.0f}",
        f"{candidate['pause_ms']:.0f}",
        "-" if ready_ms is None else f"{ready_ms:.0f}",
        str(candidate["cached_tokens"]),
        f"{candidate['requests']}/{candidate['slots']}",
        str(candidate["unread"]),
        str(candidate["free_tokens"]),
        f"{candidate['speed']:.2f}",
        f"{candidate['slowness']:.2f}",
    )

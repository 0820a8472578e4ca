"""Start the load tool as a process."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import trio
import typer

from briardyke.clock import now_ms, sleep_ms
from briardyke.exit_codes import ExitCode
from briardyke.http.client import HttpClient
from briardyke.loadtool.addresses import AddressBook
from briardyke.loadtool.callers import Caller, ChatRequest
from briardyke.loadtool.settings import LoadSettings
from briardyke.loadtool.summary import Outcome, Summary, summary_lines
from briardyke.logs import configure_logs, log_warning
from briardyke.settings import settings_command

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_WORD_CHARACTERS = "abcdefghijklmnopqrstuvwxyz     "


class LoadRun:
    """Send the requests of one run."""

    def __init__(self, settings: LoadSettings, client: HttpClient) -> None:
        """Seed the random sources; arrivals and prompts do not depend on responses."""
        self._settings = settings
        self._arrivals = random.Random(f"{settings.seed} arrivals")
        self._prompts = random.Random(f"{settings.seed} prompts")
        self._numbers = itertools.count(1)
        self._sent = 0
        self.summary = Summary()
        book = AddressBook(settings, client, random.Random(f"{settings.seed} addresses"))
        self._caller = Caller(settings, book, client)
        length = settings.prompt_characters * 3 // 4
        self._prefixes = [self._text(length) for _ in range(settings.shared_prefixes)]

    async def run(self) -> None:
        """Send for the set time and wait for all responses."""
        settings = self._settings
        end_ms = now_ms() + settings.duration_ms
        async with trio.open_nursery() as nursery:
            if settings.loop == "open":
                rate = settings.requests_per_second
                nursery.start_soon(self._open_loop, rate, end_ms, self._chat)
            else:
                for _ in range(settings.concurrent_requests):
                    nursery.start_soon(self._closed_loop, end_ms)
            rate = settings.service_calls_per_second
            nursery.start_soon(self._open_loop, rate, end_ms, self._service)

    async def _open_loop(
        self, rate: float, end_ms: float, send: Callable[[float], Awaitable[None]]
    ) -> None:
        due_ms = now_ms()
        async with trio.open_nursery() as nursery:
            while rate > 0:
                due_ms += self._arrivals.expovariate(rate) * 1000.0
                if due_ms >= end_ms or not self._take_one():
                    return
                await sleep_ms(due_ms - now_ms())
                nursery.start_soon(send, due_ms)

    async def _closed_loop(self, end_ms: float) -> None:
        while (now := now_ms()) < end_ms and self._take_one():
            await self._chat(now)

    def _take_one(self) -> bool:
        self._sent += 1
        return self._sent <= self._settings.request_limit

    async def _chat(self, due_ms: float) -> None:
        models = self._settings.models
        model = self._prompts.choices(list(models), list(models.values()))[0]
        prefix = self._prompts.choice(self._prefixes)
        content = prefix + self._text(self._settings.prompt_characters - len(prefix))
        request_id = f"load-{self._settings.seed}-{next(self._numbers)}"
        result = await self._caller.chat(ChatRequest(request_id, model, content))
        self.summary.add_chat(result, due_ms)
        if result.outcome in (Outcome.WRONG, Outcome.TRUNCATED):
            log_warning(
                "response_not_whole",
                request_id=request_id,
                outcome=result.outcome.value,
                kind=result.kind,
                detail=result.detail,
            )

    async def _service(self, due_ms: float) -> None:
        request_id = f"call-{self._settings.seed}-{next(self._numbers)}"
        result = await self._caller.service(request_id)
        self.summary.add_service(result, now_ms() - due_ms)

    def _text(self, length: int) -> str:
        return "".join(self._prompts.choices(_WORD_CHARACTERS, k=length))


async def run_load(settings: LoadSettings) -> tuple[Summary, float]:
    """Send the load and return the summary with the elapsed time in milliseconds."""
    client = HttpClient()
    started_ms = now_ms()
    try:
        load = LoadRun(settings, client)
        await load.run()
    finally:
        await client.aclose()
    return load.summary, now_ms() - started_ms


def exit_code(settings: LoadSettings, summary: Summary) -> ExitCode:
    """Return the exit code that belongs to the outcomes of a run."""
    if settings.require_whole and not summary.all_whole:
        return ExitCode.REQUEST_FAILED
    return ExitCode.OK


def _run(settings: LoadSettings) -> int:
    configure_logs(settings.log_level)
    summary, elapsed_ms = trio.run(run_load, settings)
    for line in summary_lines(summary.as_dict(elapsed_ms)):
        typer.echo(line)
    return exit_code(settings, summary)


run = settings_command(LoadSettings, "briardyke-load", _run)

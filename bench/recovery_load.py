"""Send a constant load to a cluster, continue broken answers, and record what callers were told."""

from __future__ import annotations

import http.client
import itertools
import json
import random
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs
from cluster import API_KEY

from briardyke.http.sse import EventParser
from briardyke.loadtool.verification import ResponseVerifier
from briardyke.standins.generation import whole_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cluster import Cluster

_DEADLINE_MS = 20000
_SILENCE_S = 10.0  # longer than the longest suspension, so that a woken process can still answer
_CONNECTIONS = 12
_TOKENS = 30


@attrs.define
class Ended:
    """Record one request as its caller saw it.

    :param kind: ``stream``, ``whole``, ``stock`` or ``purchase``.
    :param result: ``complete``, ``resumed``, ``refused``, ``failed`` (told by an error), ``lost``
        (no answer over all connections), ``truncated`` or ``wrong``.
    """

    kind: str
    request_id: str
    result: str
    started_s: float
    ended_s: float
    detail: str = ""


@attrs.define
class Break:
    """Record a connection that ended without an answer.

    :param listed: whether an address response that was still valid named the entry process.
    """

    entry: str
    request_id: str
    started_s: float
    ended_s: float
    listed: bool
    detail: str


@attrs.define
class KeyRecord:
    """Record the calls with one idempotency key.

    :param request_ids: request id of each call.
    :param answers: bodies of the answers.
    """

    request_ids: list[str] = attrs.field(factory=list)
    answers: list[dict[str, Any]] = attrs.field(factory=list)


class BrokenError(Exception):
    """Report a connection that ended without an answer."""


@attrs.define
class _Tries:
    """Track the connections of one request."""

    request_id: str
    broken: int = 0
    avoided: str = ""


class Load:
    """Send requests from threads until told to stop."""

    def __init__(self, cluster: Cluster, seed: int, models: Sequence[str], callers: int) -> None:
        """Start the callers.

        :param cluster: where to send.
        :param seed: seed of models and pauses.
        :param models: models to ask for.
        :param callers: callers of each kind of request.
        """
        self._cluster = cluster
        self._models = models
        self._stop = threading.Event()
        self.started_s = time.monotonic()
        self.ended_s = 0.0
        self.ended: list[Ended] = []
        self.breaks: list[Break] = []
        self.keys: dict[str, KeyRecord] = {}
        self.told_not_run: set[str] = set()
        kinds = (self._stream, self._whole, self._stock, self._purchase)
        self._threads = [
            threading.Thread(target=self._run, args=(send, f"{send.__name__[1:]}-{n}", seed + n))
            for send in kinds
            for n in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop and wait for the requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self.ended_s = time.monotonic()

    def _run(self, send: Any, name: str, seed: int) -> None:
        source = random.Random(f"{name}/{seed}")
        book = _Book(self._cluster, source)
        for count in itertools.count():
            if self._stop.is_set():
                return
            request_id = f"{name}-{count}"
            started = time.monotonic()
            try:
                result, detail = send(request_id, book, source)
            except Exception as error:  # a defect of the bench must not pass as a quiet caller
                result, detail = "wrong", f"caller failed: {error!r}"
            kind = name.split("-")[0]
            now = time.monotonic()
            self.ended.append(Ended(kind, request_id, result, started, now, detail))
            time.sleep(0.1 if result in ("refused", "failed") else source.uniform(0.0, 0.06))

    def _exchange(
        self, book: _Book, tries: _Tries, method: str, path: str, body: Any, headers: Any, read: Any
    ) -> Any:
        """Send over one connection; raise ``BrokenError`` when it ends without an answer."""
        entry, listed = book.pick(tries.avoided)
        started = time.monotonic()
        port = self._cluster.processes[entry].http_port
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=_SILENCE_S)
        sent = {"authorization": f"Bearer {API_KEY}", "x-deadline-ms": str(_DEADLINE_MS), **headers}
        try:
            connection.request(method, path, json.dumps(body) if body else None, sent)
            return read(connection.getresponse())
        except (OSError, http.client.HTTPException) as error:
            tries.broken += 1
            tries.avoided = entry
            self.breaks.append(
                Break(entry, tries.request_id, started, time.monotonic(), listed, repr(error))
            )
            time.sleep(0.05)
            raise BrokenError from error
        finally:
            connection.close()

    def _told(self, request_id: str, error: dict[str, Any], *, first: bool) -> tuple[str, str]:
        kind = str(error.get("kind"))
        if error.get("ran") != "no":
            return "failed", kind
        if first:
            self.told_not_run.add(request_id)
        return "refused", kind

    def _stream(self, request_id: str, book: _Book, source: random.Random) -> tuple[str, str]:
        model = source.choice(self._models)
        verifier = ResponseVerifier(request_id, model, "user: p", _TOKENS)
        tries = _Tries(request_id)

        def read(response: http.client.HTTPResponse) -> dict[str, Any] | None:
            if response.status != 200:
                return _error(response.read())
            parser = EventParser()
            while chunk := response.read1(65536):
                for event in parser.feed(chunk):
                    verifier.take(event)
            return None

        for _ in range(_CONNECTIONS):
            headers = {"x-request-id": request_id}
            if verifier.offset:
                headers["last-event-id"] = str(verifier.offset)
            body = _chat(model, stream=True)
            try:
                error = self._exchange(
                    book, tries, "POST", "/v1/chat/completions", body, headers, read
                )
            except BrokenError:
                if verifier.wrong:
                    return "wrong", verifier.wrong
                continue
            if verifier.wrong:
                return "wrong", verifier.wrong
            if verifier.done:
                return ("resumed" if tries.broken else "complete"), ""
            if error is not None and verifier.offset and error.get("retryable"):
                time.sleep(0.1)
                continue
            if error is not None:
                return self._told(request_id, error, first=not tries.broken)
            if verifier.error is not None:
                return "failed", f"error event: {verifier.error.get('kind')}"
            return "truncated", f"ended after {verifier.offset} tokens without an error"
        return "lost", f"{tries.broken} connections broke"

    def _whole(self, request_id: str, book: _Book, source: random.Random) -> tuple[str, str]:
        model = source.choice(self._models)

        def right(status: int, body: dict[str, Any]) -> str:
            text = body["choices"][0]["message"]["content"]
            if text == whole_text(request_id, model, "user: p", _TOKENS):
                return ""
            return f"text of {len(text)} characters is not the answer"

        body = _chat(model, stream=False)
        return self._repeat(request_id, book, "POST", "/v1/chat/completions", body, right)

    def _stock(self, request_id: str, book: _Book, source: random.Random) -> tuple[str, str]:
        def right(status: int, body: dict[str, Any]) -> str:
            same = body.get("request_id") == request_id and body.get("item") == request_id
            return "" if same else f"answer of another call: {body}"

        path = f"/services/sales/stock/{request_id}"
        return self._repeat(request_id, book, "GET", path, None, right)

    def _repeat(
        self, request_id: str, book: _Book, method: str, path: str, body: Any, right: Any
    ) -> tuple[str, str]:
        tries = _Tries(request_id)
        headers = {"x-request-id": request_id}
        for _ in range(_CONNECTIONS):
            try:
                status, answer = self._exchange(
                    book, tries, method, path, body, headers, _read_whole
                )
            except BrokenError:
                continue
            if status >= 300:
                return self._told(request_id, answer.get("error", {}), first=not tries.broken)
            if wrong := right(status, answer):
                return "wrong", wrong
            return ("resumed" if tries.broken else "complete"), ""
        return "lost", f"{tries.broken} connections broke"

    def _purchase(self, key: str, book: _Book, source: random.Random) -> tuple[str, str]:
        record = self.keys.setdefault(key, KeyRecord())
        tries = _Tries(key)
        resends = int(source.random() < 0.3)
        outcome = ("lost", "no answer")
        completed = False
        for number in range(_CONNECTIONS):
            # Each call has its own request id, so that a later run cannot be taken for an earlier.
            request_id = f"{key}.{number}"
            record.request_ids.append(request_id)
            headers = {"x-request-id": request_id, "idempotency-key": key}
            path, body = "/services/sales/purchases", {"lot": key}
            try:
                status, answer = self._exchange(
                    book, tries, "POST", path, body, headers, _read_whole
                )
            except BrokenError:
                continue
            if status < 300:
                record.answers.append(answer)
                if answer.get("request_id") not in record.request_ids:
                    return "wrong", f"answer of another call: {answer}"
                if answer != record.answers[0]:
                    return "wrong", f"{answer} after {record.answers[0]}"
                outcome = ("resumed" if tries.broken else "complete"), ""
                completed = True
            else:
                told = self._told(request_id, answer.get("error", {}), first=True)
                if not completed:
                    outcome = told
            if not resends:
                break
            resends -= 1
            tries.avoided = book.last
        return outcome


class _Book:
    """Keep an address response for its time to live."""

    def __init__(self, cluster: Cluster, source: random.Random) -> None:
        self._cluster = cluster
        self._source = source
        self._names: list[str] = []
        self._until_s = 0.0
        self.last = ""

    def pick(self, avoided: str) -> tuple[str, bool]:
        """Return an entry process, and whether a valid address response names it."""
        now = time.monotonic()
        if now >= self._until_s:
            self._names = []
            everyone = self._cluster.names("entry")
            for name in self._source.sample(everyone, len(everyone)):
                asked = time.monotonic()
                try:
                    answer = self._cluster.call(name, "GET", "/v1/addresses", timeout_s=1).json()
                    self._names = [row["instance_id"] for row in answer["addresses"]]
                except (OSError, ValueError, KeyError):
                    continue
                if self._names:
                    self._until_s = asked + answer["ttl_ms"] / 1000.0
                    break
        names = self._names or self._cluster.names("entry")
        usable = [name for name in names if name != avoided] or names
        self.last = self._source.choice(usable)
        return self.last, bool(self._names) and time.monotonic() < self._until_s


def _chat(model: str, *, stream: bool) -> dict[str, Any]:
    messages = [{"role": "user", "content": "p"}]
    return {"model": model, "max_tokens": _TOKENS, "stream": stream, "messages": messages}


def _read_whole(response: http.client.HTTPResponse) -> tuple[int, dict[str, Any]]:
    return response.status, json.loads(response.read())


def _error(body: bytes) -> dict[str, Any]:
    return dict(json.loads(body)["error"])

"""Check `briardyke-operator explain` against an entry instance that answers from a script."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import pytest
from typer.testing import CliRunner, Result

from briardyke.exit_codes import ExitCode
from briardyke.operator.explain import PATH
from briardyke.operator.main import run

if TYPE_CHECKING:
    from collections.abc import Iterator

FIT = {
    "upstream_id": "e-1",
    "rule": "",
    "cost": 0.1254,
    "cached_tokens": 1000,
    "wait_ms": 20.0,
    "first_ms": 84.6,
    "pause_ms": 40.0,
    "ready_ms": 0.0,
    "requests": 3,
    "slots": 8,
    "unread": 1,
    "free_tokens": 15000,
    "speed": 1.1,
    "slowness": 1.0,
}
FULL = {
    **FIT,
    "upstream_id": "e-2",
    "rule": "no free slot",
    "ready_ms": None,
    "requests": 8,
}
ANSWER = {
    "version": 7,
    "route": "chat",
    "service": "pool",
    "targets": {"pool": 90.0, "new": 10.0},
    "account": "hule930",
    "priority": 2,
    "decided_by": "coordinator 10.0.0.1:7380",
    "outcome": {
        "outcome": "placed",
        "upstream_id": "e-1",
        "expected_first_ms": 84.6,
        "retry_after_ms": 0.0,
        "reason": "",
    },
    "is_drawn": False,
    "upstreams": [
        {
            "upstream_id": name,
            "address": "10.0.1.1:80",
            "excluded": "",
            "free_in_ms": 0.0,
            "load": 1,
        }
        for name in ("e-1", "e-2", "e-4")
    ]
    + [
        {
            "upstream_id": "e-3",
            "address": "10.0.1.3:80",
            "excluded": "asked for a pause",
            "free_in_ms": 812.3,
            "load": 0.0,
        }
    ],
    "coordinated": {
        "decision": "would be placed on e-1",
        "yields": True,
        "waiting": 4,
        "candidates": [FIT, FULL],
        "unknown_ids": ["e-4"],
        "reply": {},
    },
}
TABLE = """\
configuration 7, route chat, service pool (of pool:90 new:10)
account hule930, priority 2
decided by coordinator 10.0.0.1:7380: placed on e-1, first event in 85 ms
4 waiting; would be placed on e-1
it yields to other requests: batch stream, or account above its share

upstream  excluded                      load  cost   first_ms  pause_ms  ready_ms  cached  \
requests  unread  free_cache  speed  slowness
e-1       -                             1.0   0.125  85        40        0         1000    \
3/8       1       15000       1.10   1.00
e-2       no free slot                  1.0   0.125  85        40        -         1000    \
8/8       1       15000       1.10   1.00
e-4       not known to the coordinator  1.0   -      -         -         -         -       \
-         -       -           -      -
e-3       asked for a pause for 812 ms  0.0   -      -         -         -         -       \
-         -       -           -      -
"""


class Entry:
    """Entry instance that gives one answer and keeps the targets that it was asked for."""

    def __init__(self) -> None:
        self.status = 200
        self.body: Any = ANSWER
        self.targets: list[str] = []
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                entry.targets.append(self.path)
                body = (
                    entry.body if isinstance(entry.body, bytes) else json.dumps(entry.body).encode()
                )
                self.send_response(entry.status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments: Any) -> None:
                pass

        self.server = HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def explain(self, *arguments: str, entry: str = "") -> Result:
        named = ["--entry", entry or self.address, "--host", "h", "--path", "/chat/x"]
        return CliRunner().invoke(run, ["explain", *named, *arguments])


@pytest.fixture
def entry() -> Iterator[Entry]:
    started = Entry()
    thread = threading.Thread(target=started.server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield started
    finally:
        started.server.shutdown()
        thread.join(10)
        started.server.server_close()


class TestExplain:
    """Guards against explanations of another request, or that hide why an upstream is out."""

    def test_table(self, entry: Entry) -> None:
        explained = entry.explain("--account", "hule930")
        assert (explained.stdout, explained.exit_code) == (TABLE, 0)

    def test_question_holds_all_options(self, entry: Entry) -> None:
        options = ["--model", "m/a", "--prompt-tokens", "0", "--output-tokens", "90"]
        entry.explain("--account", "hule930", "--prefix", "sys:1000,u 1:460", *options)
        (target,) = entry.targets
        path, _, query = target.partition("?")
        assert path == PATH
        assert parse_qs(query) == {
            "host": ["h"],
            "path": ["/chat/x"],
            "account": ["hule930"],
            "model": ["m/a"],
            "prompt_tokens": ["0"],
            "output_tokens": ["90"],
            "prefix": ["sys:1000,u 1:460"],
        }

    def test_json_is_that_of_the_instance(self, entry: Entry) -> None:
        assert json.loads(entry.explain("--json").stdout) == ANSWER

    def test_local_choice_and_rejection(self, entry: Entry) -> None:
        """Guards against columns of figures that nobody gave, and a lost time to come back."""
        outcome = {
            "outcome": "rejected",
            "upstream_id": "",
            "expected_first_ms": 0.0,
            "retry_after_ms": 812.3,
            "reason": "upstream_limited: full",
        }
        changed = {"decided_by": "entry instance", "coordinated": None, "outcome": outcome}
        entry.body = {**ANSWER, **changed}
        lines = entry.explain().stdout.splitlines()
        expected = "rejected, come back in 812 ms, upstream_limited: full"
        assert f"decided by entry instance: {expected}" in lines
        assert lines[4].split() == ["upstream", "excluded", "load"]

    @pytest.mark.parametrize(
        ("status", "body", "text"),
        [
            (
                404,
                {
                    "error": {
                        "kind": "not_found",
                        "message": "no client account",
                        "field": "account",
                    }
                },
                "error: not_found: no client account\n",
            ),
            (404, b"", "error: outcome_unknown: status 404 with an unreadable body\n"),
            (200, {}, "error: the reply is not an explanation\n"),
            (200, [], "error: the reply is not an explanation\n"),
        ],
    )
    def test_refusals_are_one_line(self, entry: Entry, status: int, body: Any, text: str) -> None:
        entry.status, entry.body = status, body
        failed = entry.explain()
        assert (failed.exit_code, failed.stderr) == (ExitCode.REQUEST_FAILED, text)
        assert not failed.stdout

    @pytest.mark.parametrize(
        ("arguments", "address", "code"),
        [
            (["--prefix", "sys"], "", ExitCode.SETTINGS_INVALID),
            (["--prefix", "sys:x"], "", ExitCode.SETTINGS_INVALID),
            ([], "localhost", ExitCode.SETTINGS_INVALID),
            ([], "127.0.0.1:1", ExitCode.REQUEST_FAILED),
        ],
    )
    def test_errors_are_one_line(
        self, entry: Entry, arguments: list[str], address: str, code: int
    ) -> None:
        failed = entry.explain(*arguments, entry=address)
        assert failed.exit_code == code
        assert failed.stderr.startswith("error: ") and failed.stderr.count("\n") == 1

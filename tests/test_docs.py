"""Check that the generated reference pages agree with the code."""

from __future__ import annotations

import ast
import importlib.util
import re
from pathlib import Path
from typing import Any

from briardyke.errors import ErrorKind
from briardyke.exit_codes import ExitCode

ROOT = Path(__file__).resolve().parent.parent


def _load_generator() -> Any:
    path = ROOT / "scripts" / "generate_docs.py"
    spec = importlib.util.spec_from_file_location("generate_docs", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


GENERATOR = _load_generator()


class TestGeneratedPages:
    """Guards against reference pages that no longer describe the code."""

    def test_pages_are_current(self) -> None:
        assert GENERATOR.stale_pages() == []
        assert GENERATOR.main(["--check"]) == 0

    def test_check_reports_a_changed_page_without_repairing_it(self, tmp_path: Path) -> None:
        assert GENERATOR.main([], tmp_path) == 0
        page = tmp_path / "errors.md"
        changed = page.read_text(encoding="utf-8") + "changed\n"
        page.write_text(changed, encoding="utf-8")
        assert GENERATOR.main(["--check"], tmp_path) == 1
        assert page.read_text(encoding="utf-8") == changed

    def test_every_error_kind_and_exit_code_is_explained(self) -> None:
        assert set(GENERATOR.OCCURRENCES) == set(ErrorKind)
        assert set(GENERATOR.EXIT_CODES) == set(ExitCode)
        for text in [*GENERATOR.OCCURRENCES.values(), *GENERATOR.EXIT_CODES.values()]:
            assert text.endswith(".")


LOG_FUNCTIONS = {"log_event", "log_debug", "log_warning", "log_error", "log_limited"}
METRIC_FUNCTIONS = {"counter", "up_down_counter", "histogram_ms"}


def _first_arguments(functions: set[str]) -> set[str]:
    found = set()
    for path in sorted((ROOT / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") in functions:
                argument = node.args[0]
                assert isinstance(argument, ast.Constant), f"{path}:{node.lineno}"
                found.add(str(argument.value))
    return found


class TestWrittenPages:
    """Guards against pages that miss an event or metric or name a file that is gone."""

    def test_every_log_event_is_listed(self) -> None:
        listed = set(re.findall(r"`(\w+)`", self._page("metrics-and-logs.md")))
        assert _first_arguments(LOG_FUNCTIONS) - listed == set()

    def test_every_metric_is_listed(self) -> None:
        page = self._page("metrics-and-logs.md")
        for name in _first_arguments(METRIC_FUNCTIONS):
            assert re.search(rf"`{name}_(total|milliseconds)`", page), name

    def test_files_that_the_glossary_names_exist(self) -> None:
        for name in re.findall(r"`([a-z_]+/[a-z_/]*(?:\.py)?)`", self._page("glossary.md")):
            assert (ROOT / "src" / "briardyke" / name).exists(), name

    def test_links_between_pages_lead_somewhere(self) -> None:
        for page in (ROOT / "docs").glob("*.md"):
            for target in re.findall(r"\]\(([\w.-]+\.md)", page.read_text(encoding="utf-8")):
                assert (ROOT / "docs" / target).exists(), f"{page.name}: {target}"

    @staticmethod
    def _page(name: str) -> str:
        return (ROOT / "docs" / name).read_text(encoding="utf-8")

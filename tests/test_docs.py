"""Check that the generated reference pages agree with the code."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from typing import Any

from briardyke.errors import ErrorKind
from briardyke.settings import ExitCode

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

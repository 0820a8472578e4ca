"""Start an entry instance from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from briardyke.platform.entry_main import main  # noqa: E402

sys.exit(main())

"""Start a control instance from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from briardyke.platform.control_main import main  # noqa: E402

sys.exit(main())

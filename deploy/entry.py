"""Start an entry instance from a checkout."""

import signal
import sys
from pathlib import Path

# The platform may ask for a reload while the imports still run; by default that would end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from briardyke.platform.entry_main import main  # noqa: E402

sys.exit(main())

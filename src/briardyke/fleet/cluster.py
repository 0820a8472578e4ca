"""Name the deployment, so that processes of different ones do not talk to each other.

It stands apart from the member of the control group, whose modules take an entry instance a third
of its start to import.
"""

from __future__ import annotations

CLUSTER_ID = "briardyke"

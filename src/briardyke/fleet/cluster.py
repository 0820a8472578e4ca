"""Define the cluster id, by which processes refuse peers of other deployments.

It is separate from the member module, whose imports would take a third of an entry instance's start
time.
"""

from __future__ import annotations

CLUSTER_ID = "briardyke"

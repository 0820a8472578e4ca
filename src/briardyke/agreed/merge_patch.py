"""Apply JSON Merge Patches (RFC 7396)."""

from __future__ import annotations

import hashlib
import json
from typing import Any

# The configuration document has four levels. The bound keeps recursion well within the
# interpreter's limit: how much of that limit is left depends on the depth of the call stack, so
# members could otherwise disagree on whether a patch applies.
MAX_DEPTH = 16


def merge_patch(target: Any, patch: Any) -> Any:
    """Return the target with the patch applied; neither argument is changed.

    :param target: JSON value.
    :param patch: JSON value; ``null`` as the value of a member removes that member.
    :return: the new JSON value, which may share unchanged parts with the target.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def exceeds_max_depth(value: Any) -> bool:
    """Return whether a JSON value is nested deeper than :data:`MAX_DEPTH`."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return False
    return True


def content_digest(value: Any) -> str:
    """Return a hash of a JSON value that does not depend on the order of object members."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []

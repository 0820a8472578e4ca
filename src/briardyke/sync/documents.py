"""Keep recent configuration documents and compute the patch between two of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

_MAX_VERSIONS = 64


class DocumentHistory:
    """Documents of the latest versions; version numbers only increase."""

    def __init__(self) -> None:
        """Start without any version."""
        self.version = 0
        self.document: dict[str, Any] = {}
        self._documents: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self._patches: dict[int, dict[str, Any]] = {}

    def append(self, version: int, document: dict[str, Any]) -> bool:
        """Store a version.

        :return: whether it is newer than the current one; an older one is not stored.
        """
        if version <= self.version:
            return False
        self.version, self.document = version, document
        self._documents[version] = document
        self._patches.clear()
        if len(self._documents) > _MAX_VERSIONS:
            self._documents.popitem(last=False)
        return True

    def patch_from(self, version: int) -> dict[str, Any] | None:
        """Return the JSON Merge Patch from a version to the current one, if it is still held."""
        base = self._documents.get(version)
        if base is None:
            return None
        if version not in self._patches:
            self._patches[version] = create_merge_patch(base, self.document)
        return self._patches[version]


def create_merge_patch(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON Merge Patch (RFC 7396) that turns one document into another.

    :param old: base document.
    :param new: target document; it contains no null, which a merge patch cannot express.
    """
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before: Any = old.get(key)
        if key not in old or type(before) is not type(value):
            patch[key] = value
        elif isinstance(value, dict):
            inner = create_merge_patch(before, value)
            if inner:
                patch[key] = inner
        elif before != value:
            patch[key] = value
    return patch

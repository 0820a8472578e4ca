"""Keep recent configuration documents and compute the patch between two of them."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

_KEPT_VERSIONS = 64


class DocumentHistory:
    """Hold the documents of the latest versions; version numbers only rise."""

    def __init__(self) -> None:
        """Start without any version."""
        self.version = 0
        self.document: dict[str, Any] = {}
        self._documents: OrderedDict[int, dict[str, Any]] = OrderedDict()
        self._patches: dict[int, dict[str, Any]] = {}

    def append(self, version: int, document: dict[str, Any]) -> bool:
        """Take in a version.

        :return: whether it is newer than the held one; an older one is not stored.
        """
        if version <= self.version:
            return False
        self.version, self.document = version, document
        self._documents[version] = document
        self._patches.clear()
        if len(self._documents) > _KEPT_VERSIONS:
            self._documents.popitem(last=False)
        return True

    def patch_from(self, version: int) -> dict[str, Any] | None:
        """Return the JSON Merge Patch from a version to the current one, if it is still held."""
        base = self._documents.get(version)
        if base is None:
            return None
        if version not in self._patches:
            self._patches[version] = merge_difference(base, self.document)
        return self._patches[version]


def merge_difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON Merge Patch (RFC 7396) that turns one document into another.

    :param old: document to start from.
    :param new: document to arrive at; it holds no null, which a merge patch cannot express.
    """
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before: Any = old.get(key)
        if key not in old or type(before) is not type(value):
            patch[key] = value
        elif isinstance(value, dict):
            inner = merge_difference(before, value)
            if inner:
                patch[key] = inner
        elif before != value:
            patch[key] = value
    return patch

"""Recognize a request that is sent again under another id."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from briardyke.http.exchange import header
from briardyke.quarantine.records import FINGERPRINT_PREFIX

if TYPE_CHECKING:
    from briardyke.gateway.dialect import RequestMetadata
    from briardyke.http.exchange import HttpRequest

_DIGEST_BYTES = 12


def request_fingerprint(request: HttpRequest, metadata: RequestMetadata) -> str:
    """Return an id of what a request asks for.

    :param request: request as the caller sent it.
    :param metadata: values from its headers.
    :return: the same for all requests with the same method, host, target, model, prompt and body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    model = f"{metadata.model}/{metadata.adapter}".encode()
    prompt = ",".join(metadata.prefix_ids).encode()
    host = header(request.headers, b"host") or b""
    for field in (request.method.encode(), host, request.target.encode(), model, prompt):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(request.body)
    return FINGERPRINT_PREFIX + digest.hexdigest()

"""Encode registered attrs classes as msgpack and decode them."""

from __future__ import annotations

from typing import Any, TypeVar

import msgpack
from cattrs.preconf.msgpack import make_converter
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure

MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4
T = TypeVar("T")

_converter = make_converter()
_classes: dict[str, type[Any]] = {}


def message(cls: type[T]) -> type[T]:
    """Register an attrs class as a message; its class name is its name on the wire."""
    if cls.__name__ in _classes:
        raise TypeError(f"message name {cls.__name__} is registered twice")
    _classes[cls.__name__] = cls
    return cls


def encode(value: Any) -> bytes:
    """Return a message's msgpack form, ``[class name, fields]``."""
    return msgpack.packb([type(value).__name__, _converter.unstructure(value)])


def decode(data: bytes) -> Result[Any, Failure]:
    """Read one message.

    :param data: output of :func:`encode`, or anything a faulty peer sent.
    :return: the message, or a failure of kind ``protocol_violation``.
    """
    try:
        name, fields = msgpack.unpackb(data)
        return Ok(_converter.structure(fields, _classes[name]))
    except Exception as error:  # cattrs and msgpack raise many types; input is untrusted
        text = f"cannot decode message: {type(error).__name__}"
        return Err(Failure(ErrorKind.PROTOCOL_VIOLATION, text))


def unstructure(value: Any) -> Any:
    """Return an attrs value as plain dictionaries and lists."""
    return _converter.unstructure(value)


def structure(value: Any, cls: type[T]) -> T:
    """Build an attrs value from plain dictionaries and lists.

    :raises Exception: any error of cattrs, when the value does not fit the class.
    """
    return _converter.structure(value, cls)

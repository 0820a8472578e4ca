"""Update attrs objects whose fields are fault switches."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err, Ok, Result

from briardyke.errors import ErrorKind, Failure


def set_switches(faults: Any, body: dict[str, Any]) -> Result[None, Failure]:
    """Set the named switches, or none when a name or type is wrong.

    :param faults: attrs object; each field's default shows the accepted type.
    :param body: values by switch name.
    :return: a failure of kind ``field_invalid`` that names the first bad switch.
    """
    types = {field.name: type(field.default) for field in attrs.fields(type(faults))}
    for name, value in body.items():
        expected = types.get(name)
        if type(value) is not expected and not (expected is float and type(value) is int):
            text = f"{name} is no fault switch or has a value of the wrong type"
            return Err(Failure(ErrorKind.FIELD_INVALID, text, name))
    for name, value in body.items():
        setattr(faults, name, value)
    return Ok(None)

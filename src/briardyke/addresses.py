"""Name TCP endpoints by IP number."""

from __future__ import annotations

import ipaddress

import attrs


@attrs.frozen
class Address:
    """Name one TCP endpoint by IP number.

    :param host: IPv4 or IPv6 address.
    :param port: TCP port, 0 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 host."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    :raises ValueError: when the host is no IP number or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError("expected <ip>:<port>")
    bare = host.removeprefix("[").removesuffix("]")
    return Address(str(ipaddress.ip_address(bare)), int(port))

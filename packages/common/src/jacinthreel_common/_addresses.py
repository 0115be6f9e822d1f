"""Parsing and formatting of IP addresses.  Host names are not accepted or resolved."""

from __future__ import annotations

import ipaddress

from returns.result import Failure, Result, Success

from jacinthreel_common._codes import Fault, ResultCode


def parse_ip(text: str) -> Result[str, Fault]:
    """Returns the normalized IPv4 or IPv6 address in `text`.  Error: NOT_AN_IP.

    >>> parse_ip("127.0.0.1").unwrap()
    '127.0.0.1'
    >>> parse_ip("localhost").failure().code.name
    'NOT_AN_IP'
    """
    try:
        return Success(str(ipaddress.ip_address(text)))
    except ValueError:
        return Failure(Fault(ResultCode.NOT_AN_IP, f"{text!r} is not an IP address"))


def join_address(address: str, port: int) -> str:
    """Formats address and port for a URL, with brackets around an IPv6 address.

    >>> join_address("::1", 80)
    '[::1]:80'
    """
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"

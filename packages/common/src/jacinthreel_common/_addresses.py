"""Addresses are IP numbers; names are never looked up."""

from __future__ import annotations

import ipaddress

from returns.result import Failure, Result, Success

from jacinthreel_common._codes import Fault, ResultCode


def parse_ip(text: str) -> Result[str, Fault]:
    """Checks that `text` is an IPv4 or IPv6 number.

    >>> parse_ip("127.0.0.1").unwrap()
    '127.0.0.1'
    >>> parse_ip("localhost").failure().code.name
    'NOT_AN_IP'
    """
    try:
        return Success(str(ipaddress.ip_address(text)))
    except ValueError:
        return Failure(Fault(ResultCode.NOT_AN_IP, f"{text!r} is not an IP number"))


def join_address(address: str, port: int) -> str:
    """Writes address and port as URLs need them.

    >>> join_address("::1", 80)
    '[::1]:80'
    """
    return f"[{address}]:{port}" if ":" in address else f"{address}:{port}"

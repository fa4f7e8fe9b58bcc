"""IP addresses and ports in texts."""

import ipaddress

from poplarlane.number_grammar import port_number


def split_address(text: str) -> tuple[str, int]:
    """Split `address:port`; raises ValueError if the port is not one."""
    address, _, text = text.rpartition(":")
    port = port_number(text)
    if isinstance(port, str):
        raise ValueError(f"port is {port}")
    return address, port


def is_ip(text: str) -> bool:
    """Return whether the text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_socket_address(text: str) -> bool:
    """Return whether the text is an IP address and a port."""
    address, _, port = text.rpartition(":")
    return is_ip(address) and isinstance(port_number(port), int)

"""TCP endpoint addresses and their parser."""

import dataclasses
import ipaddress

MAX_PORT_DIGITS = 5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Address:
    """TCP endpoint, given by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse `ip:port`; raise ValueError if the text is not in that form."""
    host, separator, port_text = text.rpartition(':')
    if not separator:
        raise ValueError(
            f'{text!r} has no port; write it as IP:PORT, '
            'for example 192.0.2.10:8080'
        )
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            f'{host!r} is not an IP number; hosts are named by IP, '
            'for example 192.0.2.10:8080'
        ) from None
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError(f'port {port_text!r} is not a number')
    if len(port_text) > MAX_PORT_DIGITS:
        raise ValueError(f'the port has {len(port_text)} digits')
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f'port {port} is not between 1 and 65535')
    return Address(host, port)

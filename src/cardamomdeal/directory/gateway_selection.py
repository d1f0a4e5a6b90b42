"""Selection of the gateways whose addresses a caller receives."""

import random

from cardamomdeal.protocol import messages


def select_gateways(
    hosts: tuple[messages.HostRecord, ...],
    work_class: str,
    data_centre: str,
    count: int,
    rng: random.Random,
) -> tuple[messages.GatewayRecord, ...]:
    """Return up to `count` usable gateways, those in `data_centre` first."""
    local: list[messages.GatewayRecord] = []
    remote: list[messages.GatewayRecord] = []
    for host in hosts:
        usable = [
            gateway
            for gateway in host.gateways
            if _is_usable(gateway, work_class)
        ]
        (local if host.data_centre == data_centre else remote).extend(usable)
    ordered = _weighted_shuffle(local, rng) + _weighted_shuffle(remote, rng)
    return tuple(ordered[:count])


def _is_usable(gateway: messages.GatewayRecord, work_class: str) -> bool:
    return (
        gateway.ready
        and not gateway.stopping
        and work_class in gateway.work_classes
    )


def _weighted_shuffle(
    gateways: list[messages.GatewayRecord], rng: random.Random
) -> list[messages.GatewayRecord]:
    """Return the gateways in random order, weighted by free threads."""
    return sorted(
        gateways,
        key=lambda gateway: rng.random() ** (1 / _free_threads(gateway)),
        reverse=True,
    )


def _free_threads(gateway: messages.GatewayRecord) -> float:
    return max(1.0, float(gateway.threads - gateway.in_flight))

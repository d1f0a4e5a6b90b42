"""Chooses the gateways that a caller is sent to."""

import random

from cardamomdeal.protocol import messages


def choose_gateways(
    hosts: tuple[messages.HostRecord, ...],
    work_class: str,
    data_centre: str,
    count: int,
    randomness: random.Random,
) -> tuple[messages.GatewayRecord, ...]:
    """Return usable gateways, the caller's data centre first."""
    near: list[messages.GatewayRecord] = []
    far: list[messages.GatewayRecord] = []
    for host in hosts:
        usable = [g for g in host.gateways if _is_usable(g, work_class)]
        (near if host.data_centre == data_centre else far).extend(usable)
    chosen = _shuffled(near, randomness) + _shuffled(far, randomness)
    return tuple(chosen[:count])


def _is_usable(gateway: messages.GatewayRecord, work_class: str) -> bool:
    return (
        gateway.ready
        and not gateway.stopping
        and work_class in gateway.work_classes
    )


def _shuffled(
    gateways: list[messages.GatewayRecord], randomness: random.Random
) -> list[messages.GatewayRecord]:
    """Order gateways at random, those with free threads more in front."""
    return sorted(
        gateways,
        key=lambda gateway: randomness.random() ** (1 / _weight(gateway)),
        reverse=True,
    )


def _weight(gateway: messages.GatewayRecord) -> float:
    return max(1.0, float(gateway.threads - gateway.in_flight))

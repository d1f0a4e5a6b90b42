"""What a host believes of backend servers, from the judges' answers."""

import dataclasses

from cardamomdeal.health import permits
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    held: messages.HeldEjections
    expires_at_ms: int


class JudgeAnswers:
    """Keep the judges' answers for as long as they are valid."""

    def __init__(self, validity_ms: int) -> None:
        self._validity_ms = validity_ms
        self._answers: dict[tuple[str, str], _Answer] = {}

    def take(self, held: messages.HeldEjections) -> None:
        """Take in an answer; it is valid from when it was asked for."""
        key = (held.judge, held.service)
        known = self._answers.get(key)
        expires_at_ms = held.asked_at_ms + self._validity_ms
        if known is None or known.expires_at_ms <= expires_at_ms:
            self._answers[key] = _Answer(held, expires_at_ms)

    def expire(self, now_ms: int) -> None:
        """Drop answers that are no longer valid."""
        self._answers = {
            key: answer
            for key, answer in self._answers.items()
            if answer.expires_at_ms > now_ms
        }

    def valid_for_ms(self, now_ms: int) -> int:
        """Return for how long every answer stays valid."""
        return min(
            (
                answer.expires_at_ms - now_ms
                for answer in self._answers.values()
                if answer.held.ejected
            ),
            default=self._validity_ms,
        )

    def ejected(self, service: str) -> tuple[str, ...]:
        """Return the servers of a service that are ejected."""
        return tuple(
            server
            for answer in self._answers.values()
            if answer.held.service == service
            for server in answer.held.ejected
        )

    def weights(self) -> dict[str, float]:
        """Return the lowest weight that a judge gives each server."""
        weights: dict[str, float] = {}
        for answer in self._answers.values():
            for server, weight in answer.held.weights.items():
                weights[server] = min(weight, weights.get(server, 1.0))
        return weights


def server_states(
    answers: JudgeAnswers,
    capacities: dict[str, permits.Capacity],
    leaving: frozenset[str],
) -> tuple[messages.ServerState, ...]:
    """Return the state of each server that is not in its normal one."""
    ejected: frozenset[str] = frozenset()
    for service, capacity in capacities.items():
        # Even a judge that is wrong about the capacity must not take a
        # service below its floor as this host sees it.
        ejected |= permits.within_floor(answers.ejected(service), capacity)
    weights = answers.weights()
    return tuple(
        messages.ServerState(
            server=server,
            ejected=server in ejected,
            leaving=server in leaving,
            weight=weights.get(server, 1.0),
        )
        for server in sorted(ejected | leaving | weights.keys())
    )

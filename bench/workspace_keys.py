"""Time and memory of workspaces' keys: reading a configuration, a lookup."""

from collections.abc import Callable
import json
import random
import statistics
import time
import tracemalloc
from typing import Any

from cardamomdeal.platform import configuration
from cardamomdeal.platform import credentials
from cardamomdeal.platform import redaction
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import keys

WORKSPACE_COUNTS = (100, 1_000, 41_000)
KEYS_PER_WORKSPACE = 2
KEY_CHARACTERS = 20
REPEATS = 5
LOOKUPS = 100_000
SEED = 1


def measure() -> list[dict[str, Any]]:
    """Measure each step with each number of workspaces."""
    return [_measure_count(count) for count in WORKSPACE_COUNTS]


def _measure_count(count: int) -> dict[str, Any]:
    key_texts = _key_texts(count * KEYS_PER_WORKSPACE)
    stored = _configuration(key_texts)
    redacted = _redact(stored)
    workspaces = _decode(redacted)
    index = keys.build(workspaces)
    same = _decode(redacted)
    one_changed = _decode(_redact(_configuration(['new-key', *key_texts[1:]])))
    unknown = [text[::-1] for text in key_texts]
    return {
        'workspaces': count,
        'stored_bytes': len(stored),
        'redacted_bytes': len(redacted),
        'redact_ms': _median_ms(lambda: _redact(stored)),
        'decode_ms': _median_ms(lambda: _decode(redacted)),
        'index_ms': _median_ms(lambda: keys.build(workspaces)),
        'index_unchanged_ms': _median_ms(lambda: keys.build(same, index)),
        'index_one_changed_ms': _median_ms(
            lambda: keys.build(one_changed, index)
        ),
        'index_bytes': _held_bytes(lambda: keys.build(_decode(redacted))),
        'index_unchanged_bytes': _held_bytes(
            lambda: keys.build(_decode(redacted), index)
        ),
        'index_one_changed_bytes': _held_bytes(
            lambda: keys.build(one_changed, index)
        ),
        'read_and_look_up_us': _lookup_us(index, key_texts),
        'read_and_miss_us': _lookup_us(index, unknown),
    }


def _key_texts(count: int) -> list[str]:
    rng = random.Random(SEED)
    characters = 'abcdefghijklmnopqrstuvwxyz0123456789'
    return [
        ''.join(rng.choices(characters, k=KEY_CHARACTERS))
        for _ in range(count)
    ]


def _configuration(key_texts: list[str]) -> bytes:
    size = KEYS_PER_WORKSPACE
    rows = [
        [f'workspace{n}', key_texts[n * size : (n + 1) * size], 1, 105, 30]
        for n in range(len(key_texts) // size)
    ]
    value = {
        'version': 1,
        'routes': [],
        'services': [],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 1_000_000,
            'header_timeout': '1s',
            'idle_timeout': '15s',
        },
        wire.WORKSPACES_FIELD: {
            'columns': [
                'name',
                wire.KEYS_FIELD,
                'priority',
                'rate_per_s',
                'burst',
            ],
            'rows': rows,
        },
    }
    return json.dumps(value, separators=(',', ':')).encode()


def _redact(value: bytes) -> bytes:
    redacted = redaction.redact(store.Item(wire.CONFIGURATION_KEY, value, 1))
    assert isinstance(redacted, store.Item)
    return redacted.value


def _decode(value: bytes) -> keys.Workspaces:
    workspaces = configuration.read_configuration(value).unwrap().workspaces
    assert workspaces is not None
    return workspaces


def _lookup_us(index: keys.KeyIndex, key_texts: list[str]) -> float:
    sent = [f'Token {text}' for text in key_texts]
    random.Random(SEED).shuffle(sent)
    started_s = time.perf_counter()
    for n in range(LOOKUPS):
        authentication.authenticate(
            index,
            False,
            credentials.read_credentials(sent[n % len(sent)], False),
        )
    return round((time.perf_counter() - started_s) / LOOKUPS * 1e6, 2)


def _median_ms(step: Callable[[], Any]) -> float:
    times_s = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        step()
        times_s.append(time.perf_counter() - started_s)
    return round(statistics.median(times_s) * 1e3, 3)


def _held_bytes(step: Callable[[], Any]) -> int:
    """Return the memory that the result of a step takes."""
    tracemalloc.start()
    result = step()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return held_bytes


def main() -> None:
    """Print the results as JSON."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()

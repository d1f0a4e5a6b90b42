"""Parsing of durations that are written with a unit."""

import re
from typing import Annotated

import pydantic

# Twelve digits of seconds still fit in the numbers that hosts exchange.
_DURATION = re.compile(r'([0-9]{1,12}(?:\.[0-9]{1,9})?)(ms|s)')
_UNIT_MS = {'ms': 1, 's': 1_000}


def parse_duration_ms(value: object) -> int:
    """Parse a duration such as `1500ms` or `2.5s` into milliseconds."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f'{value!r} is not a time such as 1500ms or 2.5s')
    return round(float(match[1]) * _UNIT_MS[match[2]])


DurationMs = Annotated[int, pydantic.BeforeValidator(parse_duration_ms)]

"""Times as text with their unit."""

import re
from typing import Annotated

import pydantic

_TIME = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
_UNIT_MS = {'ms': 1, 's': 1_000}


def parse_time_ms(value: object) -> int:
    """Read a time such as `1500ms` or `2.5s` as milliseconds."""
    match = _TIME.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f'{value!r} is not a time such as 1500ms or 2.5s')
    return round(float(match[1]) * _UNIT_MS[match[2]])


TimeMs = Annotated[int, pydantic.BeforeValidator(parse_time_ms)]

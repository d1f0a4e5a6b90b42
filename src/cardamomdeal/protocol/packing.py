"""Packs large values of the store for their way in fragments."""

import dataclasses
import hashlib
import zlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.protocol import codec
from cardamomdeal.protocol import errors

# The store takes no larger values.
MAX_VALUE_BYTES = 1024**2


@dataclasses.dataclass(frozen=True, slots=True)
class PackedValue:
    """Compressed value, and the digest of the value itself."""

    digest: bytes
    data: bytes


def pack(value: bytes) -> PackedValue:
    """Compress a value."""
    return PackedValue(
        hashlib.sha256(value).digest(),
        zlib.compress(value, codec.COMPRESSION_LEVEL),
    )


def unpack(packed: PackedValue) -> Result[bytes, errors.ProtocolError]:
    """Return the value; fail if it is damaged or too large."""
    decompressor = zlib.decompressobj()
    try:
        # One byte more than allowed shows that the value is too large.
        value = decompressor.decompress(packed.data, MAX_VALUE_BYTES + 1)
    except zlib.error as error:
        return Failure(errors.InvalidMessage(str(error)))
    if len(value) > MAX_VALUE_BYTES:
        return Failure(errors.MessageTooLarge('value is too large'))
    if hashlib.sha256(value).digest() != packed.digest:
        return Failure(errors.InvalidMessage('value has another digest'))
    return Success(value)

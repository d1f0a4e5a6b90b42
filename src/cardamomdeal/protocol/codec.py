"""MessagePack codec for inner messages, with version and size checks."""

import zlib

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.protocol import errors
from cardamomdeal.protocol import messages

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024**2
# Shorter messages hardly shrink.
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1
# First byte of zlib's format; an encoded envelope is an array, so it differs.
COMPRESSED_MARK = b'\x78'


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Outermost structure on the wire: protocol version and message."""

    version: int
    body: messages.AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(message: messages.AnyMessage) -> bytes:
    """Encode a message; raise MessageTooLarge or InvalidMessage."""
    try:
        data = _encoder.encode(Envelope(PROTOCOL_VERSION, message))
    except (OverflowError, UnicodeEncodeError) as error:
        raise errors.InvalidMessage(
            f'{type(message).__name__}: {error}'
        ) from error
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.MessageTooLarge(
            f'{type(message).__name__} is {len(data)} bytes long; '
            f'the limit is {MAX_MESSAGE_BYTES}'
        )
    return data


def decode(
    data: bytes,
) -> Result[messages.AnyMessage, errors.ProtocolError]:
    """Decode a message; fail on a wrong size, format or version."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(
            errors.MessageTooLarge(
                f'{len(data)} bytes is above the size limit'
            )
        )
    try:
        envelope = _decoder.decode(data)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return Failure(errors.InvalidMessage(str(error)))
    if envelope.version != PROTOCOL_VERSION:
        return Failure(
            errors.InvalidMessage(
                f'unsupported protocol version {envelope.version}'
            )
        )
    return Success(envelope.body)


def encode_compressed(message: messages.AnyMessage) -> bytes:
    """Encode a message, compressed if it is long."""
    data = encode(message)
    is_packed = isinstance(message, messages.Fragment)
    if is_packed or len(data) < MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, COMPRESSION_LEVEL)


def decode_compressed(
    data: bytes,
) -> Result[messages.AnyMessage, errors.ProtocolError]:
    """Decode a message that may be compressed."""
    if data[:1] != COMPRESSED_MARK:
        return decode(data)
    decompressor = zlib.decompressobj()
    try:
        # One byte more than allowed shows that the message is too large.
        decompressed = decompressor.decompress(data, MAX_MESSAGE_BYTES + 1)
    except zlib.error as error:
        return Failure(errors.InvalidMessage(str(error)))
    return decode(decompressed)

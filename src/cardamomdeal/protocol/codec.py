"""Encoding of inner messages with a version and a bounded size."""

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.protocol import errors
from cardamomdeal.protocol import messages

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024**2


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wrap a message with the protocol version."""

    version: int
    body: messages.AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(message: messages.AnyMessage) -> bytes:
    """Encode a message; raise MessageTooLarge over the size bound."""
    data = _encoder.encode(Envelope(PROTOCOL_VERSION, message))
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.MessageTooLarge(
            f'{type(message).__name__} takes {len(data)} bytes; '
            f'the bound is {MAX_MESSAGE_BYTES}'
        )
    return data


def decode(
    data: bytes,
) -> Result[messages.AnyMessage, errors.ProtocolError]:
    """Decode a message of this protocol version."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(errors.MessageTooLarge(f'{len(data)} bytes'))
    try:
        envelope = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(errors.MessageDamaged(str(error)))
    if envelope.version != PROTOCOL_VERSION:
        return Failure(
            errors.MessageDamaged(f'protocol version {envelope.version}')
        )
    return Success(envelope.body)

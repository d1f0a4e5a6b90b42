"""Keys of workspaces, as callers send them and as the store holds them."""

import base64
import re
from typing import Any

from cardamomdeal.platform import wire
from cardamomdeal.workspaces import keys
from cardamomdeal.workspaces import model

# Visible characters of ASCII, without those that delimit lists and quotes.
_KEY = re.compile(r'[!#-+\--~]+')
# No key has this character, so that none is taken for a digest.
_DIGEST_MARK = ','


def read_credentials(
    authorization: str | None, is_repeated: bool
) -> model.Credentials:
    """Decode the key of a request; reasons never repeat what was sent."""
    if authorization is None:
        return model.NoKey()
    if is_repeated:
        # The HTTP server keeps the last of several lines.
        return model.MalformedKey('more than one Authorization header')
    scheme, _, key = authorization.partition(' ')
    if scheme.lower() != wire.KEY_SCHEME.lower():
        return model.MalformedKey('another scheme')
    if not is_key(key):
        return model.MalformedKey('not exactly one key after the scheme')
    return model.Key(keys.digest(key))


def is_key(value: Any) -> bool:
    """Return whether a caller could send this key."""
    return isinstance(value, str) and _KEY.fullmatch(value) is not None


def encode_digest(digest: model.KeyDigest) -> str:
    """Return a digest as configurations without keys hold it."""
    return _DIGEST_MARK + base64.b64encode(digest).decode()


def decode_digest(value: Any) -> model.KeyDigest:
    """Return the digest that a configuration holds in place of a key."""
    if not (isinstance(value, str) and value.startswith(_DIGEST_MARK)):
        raise ValueError('a key must be visible characters, in a string')
    return base64.b64decode(value[len(_DIGEST_MARK) :], validate=True)

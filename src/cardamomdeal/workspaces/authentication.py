"""Decides on whose behalf a request runs, by the key that it carries."""

from cardamomdeal.workspaces import keys
from cardamomdeal.workspaces import model

# Of a digest, in logs: tells keys apart and gives none away.
LOGGED_DIGEST_BYTES = 4


def authenticate(
    index: keys.KeyIndex | None,
    is_public_route: bool,
    credentials: model.Credentials,
) -> model.Authentication:
    """Return whose request this is by the configuration in force.

    The index is None if the configuration has no workspaces.
    """
    if index is None or is_public_route:
        return model.Unrestricted()
    match credentials:
        case model.NoKey():
            return model.Unauthenticated('no key')
        case model.MalformedKey(reason):
            return model.Unauthenticated(f'malformed key: {reason}')
        case model.Key(digest):
            workspace = index.find(digest)
            if workspace is None:
                return model.Unauthenticated(
                    f'unknown key {short_digest(digest)}'
                )
            return model.Authenticated(workspace)


def short_digest(digest: model.KeyDigest) -> str:
    """Return the start of a digest, to name a key in a log line."""
    return digest[:LOGGED_DIGEST_BYTES].hex()

"""Index of the keys of a configuration's workspaces."""

import dataclasses
import hashlib

from cardamomdeal.workspaces import model

# Of SHA-256: enough that no two keys share a digest.
DIGEST_BYTES = 16

Workspaces = tuple[model.Workspace, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyIndex:
    """The workspace of each key of one configuration."""

    workspaces: Workspaces
    _by_digest: dict[model.KeyDigest, model.Workspace]

    def find(self, digest: model.KeyDigest) -> model.Workspace | None:
        """Return the workspace that holds a key, if any."""
        return self._by_digest.get(digest)


def digest(key: str) -> model.KeyDigest:
    """Return what stands for a key in memory and between hosts."""
    return hashlib.sha256(key.encode()).digest()[:DIGEST_BYTES]


def build(
    workspaces: Workspaces, previous: KeyIndex | None = None
) -> KeyIndex:
    """Return the index of workspaces that share no key.

    Unchanged workspaces are taken from the previous index, and all of it if
    none has changed, as in most configurations.
    """
    if previous is not None:
        if workspaces == previous.workspaces:
            return previous
        workspaces = _reuse_unchanged(workspaces, previous.workspaces)
    return KeyIndex(
        workspaces,
        {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        },
    )


def _reuse_unchanged(workspaces: Workspaces, known: Workspaces) -> Workspaces:
    """Return the workspaces, with the known object of each unchanged one."""
    by_name = {workspace.name: workspace for workspace in known}
    return tuple(
        by_name[workspace.name]
        if by_name.get(workspace.name) == workspace
        else workspace
        for workspace in workspaces
    )

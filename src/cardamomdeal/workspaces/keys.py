"""Index of the keys of a configuration's workspaces."""

from collections.abc import Iterable
import dataclasses

from cardamomdeal.workspaces import model

Workspaces = tuple[model.Workspace, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyIndex:
    """The workspace of each key of one configuration."""

    workspaces: Workspaces
    _by_digest: dict[model.KeyDigest, model.Workspace]

    def find(self, digest: model.KeyDigest) -> model.Workspace | None:
        """Return the workspace that holds a key, if any."""
        return self._by_digest.get(digest)


def build(workspaces: Workspaces) -> KeyIndex:
    """Return the index of workspaces that share no key."""
    return KeyIndex(
        workspaces,
        {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        },
    )


def reuse_unchanged(
    workspaces: Workspaces, known: Iterable[model.Workspace]
) -> Workspaces:
    """Return the workspaces, with the known object of each unchanged one.

    Most configurations change no workspace, and two copies of all of them
    would be held until the previous configuration is dropped.
    """
    by_name = {workspace.name: workspace for workspace in known}
    return tuple(
        by_name[workspace.name]
        if by_name.get(workspace.name) == workspace
        else workspace
        for workspace in workspaces
    )

"""Authentication of requests by a configuration that is proved recent."""

from cardamomdeal.entry import messages
from cardamomdeal.entry import open_request
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import clock
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import proof


class AuthenticationGate:
    """Decides on whose behalf a request runs, whenever it is to be sent."""

    def __init__(
        self, settings: settings_model.EntrySettings, time: clock.Clock
    ) -> None:
        self._time = time
        self._routes: routes.RouteTable | None = None
        self._proof = proof.ConfigurationProof(settings.bounds)

    def set_settings(self, settings: settings_model.EntrySettings) -> None:
        """Replace the settings."""
        self._proof.set_bounds(settings.bounds)

    def set_routes(self, table: routes.RouteTable) -> None:
        """Replace the configuration in force."""
        self._routes = table

    def record_proof(self, newer: proof.Proof) -> None:
        """Record that the configuration in force was proved the newest."""
        self._proof.record_applied(newer.revision)
        self._proof.record(newer)

    def proof_age_ms(self) -> int | None:
        """Return the age of the proof, or None if there is none."""
        return self._proof.age_ms(self._time.now_ms())

    def authenticate(
        self, admit: messages.Admit, route: model.Route
    ) -> workspace_model.Authentication:
        """Return whose request this is, as far as that is known now."""
        assert self._routes is not None
        result = authentication.authenticate(
            self._routes.key_index, route.is_public, admit.credentials
        )
        match result:
            case workspace_model.Unrestricted():
                return result
            case _:
                # Without a proof even a refusal of the key may be out of date.
                return self._proof.check(self._time.now_ms()) or result

    def authenticate_again(
        self, request: open_request.OpenRequest
    ) -> workspace_model.Unauthenticated | workspace_model.Unproven | None:
        """Return why a request that was admitted may run no more, if so.

        A configuration may have taken its key away, or given it to another
        workspace.
        """
        assert self._routes is not None
        request.withholds_key |= self._routes.key_index is not None
        match self.authenticate(request.admit, request.route):
            case workspace_model.Unrestricted():
                request.workspace = None
            case workspace_model.Authenticated(workspace):
                request.workspace = workspace
            case (
                workspace_model.Unauthenticated() | workspace_model.Unproven()
            ) as refusal:
                return refusal
        return None

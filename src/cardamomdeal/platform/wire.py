"""Header names, paths and store keys of the platform's protocol."""

REQUEST_ID = 'Cardamomdeal-Request-Id'
DEADLINE_MS = 'Cardamomdeal-Deadline-Ms'
# Set by a backend server on its own responses; proves their origin.
SIGNATURE = 'Cardamomdeal-Response-Signature'
EXPECTED_SERVER = 'Cardamomdeal-Expect-Instance'
SERVER_LOAD = 'Cardamomdeal-Server-Load'
NOT_EXECUTED = 'Cardamomdeal-Not-Executed'
SERVER_ID = 'Cardamomdeal-Instance-Id'
SERVER_LEAVING = 'Server-Leaving'
RETRY_AFTER = 'Retry-After'
# Counts how often the store has been restored from an older copy.
STORE_ERA = 'Store-Era'

# Name of the workspace on whose behalf a request runs.
WORKSPACE = 'Cardamomdeal-Tenant'
AUTHORIZATION = 'Authorization'
KEY_SCHEME = 'Token'

READY_PATH = '/cardamomdeal/ready'
RESOLVE_PATH = '/cardamomdeal/resolve'

CONFIGURATION_KEY = 'op/config'
WORKSPACES_FIELD = 'tenants'
KEYS_FIELD = 'api_keys'
SERVERS_PREFIX = 'servers/'
ENTRY_HOSTS_PREFIX = 'hosts/'

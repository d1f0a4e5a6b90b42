"""Requests over connections that lose all bytes in one direction.

No reset or close reaches the gateway, as when a firewall drops packets, so
the gateway learns of the failure from a time limit. An idempotent request
over a dead idle connection is retried; any other request must not be sent
twice.
"""

from cardamomdeal.internal import address
from devel import fleet
from tests import relay
from tests import support

DIRECTIONS = ('to server', 'to caller')


class SilentConnectionsTest(support.GatewayCase):
    server_count = 2

    def setUp(self) -> None:
        super().setUp()
        # The only server that runs is reached through a relay.
        self.stop_backend('pantanir-2')
        server = self.server_item('pantanir-1')
        self.relays: list[relay.Relay] = []
        self.server_address = address.parse_address(server['address'])
        self.addCleanup(self._close_relays)

    def insert_relay(self) -> relay.Relay:
        """Put a new relay in front of the server and restart the gateway."""
        listen = fleet.free_address()
        server = self.server_item('pantanir-1')
        server['address'] = listen
        server_relay = relay.Relay(
            address.parse_address(listen), self.server_address
        )
        self.relays.append(server_relay)
        self.serving.finish()
        self.restart_gateway()
        return server_relay

    def restart_gateway(self) -> None:
        self.settings = support.gateway_settings()
        self.start_gateway()

    def _close_relays(self) -> None:
        for server_relay in self.relays:
            server_relay.close()

    def test_idempotent_request_succeeds_after_idle_connection_dies(
        self,
    ) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                server_relay = self.insert_relay()
                first_response = self.send('GET', '/stock/1', 'first')
                self.assertEqual(
                    200, first_response.status, first_response.data
                )
                server_relay.drop_in_open_connections(direction)
                second_response = self.send(
                    'GET', '/stock/1', f'second {direction}'
                )
                self.assertEqual(
                    200, second_response.status, second_response.data
                )

    def test_non_idempotent_request_uses_new_connection(self) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                server_relay = self.insert_relay()
                self.send('GET', '/stock/1', 'first')
                server_relay.drop_in_open_connections(direction)
                request_id = f'order {direction}'
                response = self.send('POST', '/orders', request_id, body=b'{}')
                self.assertEqual(200, response.status, response.data)
                self.assertEqual(1, self.execution_count(request_id))

    def test_non_idempotent_request_is_not_retried_after_silence(self) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                server_relay = self.insert_relay()
                server_relay.drop_in_new_connections(direction)
                request_id = f'cut {direction}'
                response = self.send('POST', '/orders', request_id, body=b'{}')
                self.assert_error_response(response, 504, 'unknown')
                self.assertEqual(1, server_relay.accepted_connections)
                self.assertLessEqual(self.execution_count(request_id), 1)

"""Connections that go silent, in either direction."""

from cardamomdeal.internal import address
from devel import fleet
from tests import relay
from tests import support

DIRECTIONS = ('to server', 'to caller')


class CutConnectionsTest(support.GatewayCase):
    server_count = 2

    def setUp(self) -> None:
        super().setUp()
        # Only the first server is reached, through a relay.
        self.stop_backend('pantanir-2')
        item = self.server_item('pantanir-1')
        self.relays: list[relay.Relay] = []
        self.target = address.parse_address(item['address'])
        self.addCleanup(self._close_relays)

    def use_relay(self) -> relay.Relay:
        """Put a new relay before the server."""
        listen = fleet.free_address()
        item = self.server_item('pantanir-1')
        item['address'] = listen
        opened = relay.Relay(address.parse_address(listen), self.target)
        self.relays.append(opened)
        self.serving.finish()
        self.start_gateway_anew()
        return opened

    def start_gateway_anew(self) -> None:
        self.settings = support.gateway_settings()
        self.start_gateway()

    def _close_relays(self) -> None:
        for opened in self.relays:
            opened.close()

    def test_a_lookup_survives_an_idle_connection_gone_silent(self) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                opened = self.use_relay()
                first = self.send('GET', '/stock/1', 'first')
                self.assertEqual(200, first.status, first.data)
                opened.mute_open_connections(direction)
                second = self.send('GET', '/stock/1', f'second {direction}')
                self.assertEqual(200, second.status, second.data)

    def test_an_order_never_uses_an_idle_connection(self) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                opened = self.use_relay()
                self.send('GET', '/stock/1', 'first')
                opened.mute_open_connections(direction)
                request_id = f'order {direction}'
                answer = self.send('POST', '/orders', request_id, body=b'{}')
                self.assertEqual(200, answer.status, answer.data)
                self.assertEqual(1, self.executions(request_id))

    def test_an_order_over_a_cut_path_is_unknown_and_sent_once(self) -> None:
        for direction in DIRECTIONS:
            with self.subTest(direction=direction):
                opened = self.use_relay()
                opened.mute_new_connections(direction)
                request_id = f'cut {direction}'
                answer = self.send('POST', '/orders', request_id, body=b'{}')
                self.assert_failed(answer, 504, 'unknown')
                self.assertEqual(1, opened.accepted)
                self.assertLessEqual(self.executions(request_id), 1)

"""Exchanges values that do not fit a datagram with other entry hosts."""

import collections
import dataclasses
import logging
import random

import msgspec
from returns.result import Failure
from returns.result import Success

from cardamomdeal.channels import datagrams
from cardamomdeal.fleet import fragments
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.platform import store
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.protocol import packing

# A datagram holds a packed value of this size and the rest of its message.
MAX_WHOLE_BYTES = 59_000
MAX_PACKED_VALUES = 4
MAX_WAITING_OUTLINES = 8

Sends = list[datagrams.SendTo]
Part = protocol.StoreChanges | protocol.ViewPart

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedPart:
    """A part of the store's content and the host that sent it."""

    sender: address.Address
    part: Part


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingOutline:
    """An outline, some of whose values have not been received yet."""

    sender: address.Address
    outline: protocol.Outline
    received_at_ms: int


class ValueExchange:
    """Replaces large messages by outlines, and completes those of others.

    It sends nothing itself: its owner sends what it returns.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._hosts: tuple[model.EntryHost, ...] = ()
        # By key and revision of the entry, so that each is packed once.
        self._packed: collections.OrderedDict[
            tuple[str, int], packing.PackedValue
        ] = collections.OrderedDict()
        self._transfers = fragments.Transfers()
        self._waiting: list[_WaitingOutline] = []

    def set_hosts(self, hosts: tuple[model.EntryHost, ...]) -> None:
        """Replace the entry hosts that are present."""
        self._hosts = tuple(h for h in hosts if h.name != self._name)

    def outline(self, part: Part) -> Part | protocol.Outline:
        """Return a message, or its outline if it does not fit a datagram."""
        values = []
        entries = list(part.entries)
        for index, entry in enumerate(part.entries):
            packed = self._pack(entry.key, entry.value, entry.revision)
            if packed is not None and len(packed.data) > MAX_WHOLE_BYTES:
                values.append(
                    protocol.LargeValue(index, packed.digest, len(packed.data))
                )
                entries[index] = protocol.StoreEntry(
                    entry.key, b'', entry.revision
                )
        if not values:
            return part
        return protocol.Outline(
            msgspec.structs.replace(part, entries=tuple(entries)),
            tuple(values),
        )

    def answer(
        self,
        recipient: address.Address,
        request: protocol.FragmentRequest,
        items: tuple[store.Item, ...],
    ) -> Sends:
        """Return the fragment, if one of the items or recent values has it."""
        packed = self._find(request.digest)
        if packed is None:
            for item in items:
                self._pack(item.key, item.value, item.revision)
            packed = self._find(request.digest)
        data = fragments.cut(packed.data, request.number) if packed else b''
        if not data:
            return []
        fragment = protocol.Fragment(request.digest, request.number, data)
        return [datagrams.SendTo((recipient,), fragment)]

    def expect(
        self,
        sender: address.Address,
        outline: protocol.Outline,
        now_ms: int,
    ) -> Sends:
        """Return requests for what an outline lacks."""
        for value in outline.values:
            if not self._transfers.offer(
                value.digest, value.size_bytes, now_ms
            ):
                log.warning(
                    'value of another host ignored: too many or too large',
                    extra={'size_bytes': value.size_bytes},
                )
                return []
        kind = type(outline.message)
        self._waiting = [
            waiting
            for waiting in self._waiting
            if (waiting.sender, type(waiting.outline.message))
            != (sender, kind)
        ][1 - MAX_WAITING_OUTLINES :]
        self._waiting.append(_WaitingOutline(sender, outline, now_ms))
        return self._request(self._choose_source(sender), now_ms)

    def receive(
        self,
        sender: address.Address,
        fragment: protocol.Fragment,
        now_ms: int,
    ) -> Sends:
        """Take one fragment; return requests for others."""
        self._transfers.add(fragment.digest, fragment.number, fragment.data)
        return self._request(sender, now_ms)

    def repeat_lost(self, now_ms: int) -> Sends:
        """Return requests for what was requested and has not come."""
        if not self._waiting:
            return []
        return self._request(
            self._choose_source(self._waiting[-1].sender), now_ms
        )

    def pop_whole(self, now_ms: int) -> list[ReceivedPart]:
        """Remove and return the messages whose values have all come."""
        whole, waiting = [], []
        for outline in self._waiting:
            part = self._complete(outline, now_ms)
            if part is not None:
                log.info(
                    'large values received from other hosts',
                    extra={
                        'revision': part.revision,
                        'took_ms': now_ms - outline.received_at_ms,
                    },
                )
                whole.append(ReceivedPart(outline.sender, part))
            elif now_ms - outline.received_at_ms <= fragments.OFFER_TIMEOUT_MS:
                waiting.append(outline)
        self._waiting = waiting
        return whole

    def _request(self, source: address.Address, now_ms: int) -> Sends:
        return [
            datagrams.SendTo(
                (source,), protocol.FragmentRequest(digest, number)
            )
            for digest, number in self._transfers.request(now_ms)
        ]

    def _choose_source(self, sender: address.Address) -> address.Address:
        """Return a host that may have a value, most likely one well linked.

        Few hosts read the store for all; if they alone were asked, each would
        have to send the value to many.
        """
        if not self._hosts:
            return sender
        weights = [max(1.0, host.link_mbps) for host in self._hosts]
        (host,) = self._rng.choices(self._hosts, weights)
        return host.peers

    def _complete(self, waiting: _WaitingOutline, now_ms: int) -> Part | None:
        part = waiting.outline.message
        entries = list(part.entries)
        for value in waiting.outline.values:
            data = self._transfers.whole(value.digest)
            if data is None or value.index >= len(entries):
                return None
            match packing.unpack(packing.PackedValue(value.digest, data)):
                case Success(content):
                    entry = entries[value.index]
                    entries[value.index] = protocol.StoreEntry(
                        entry.key, content, entry.revision
                    )
                case Failure(error):
                    self._transfers.discard(value.digest)
                    log.warning(
                        'value of another host dropped: damaged',
                        extra={'reason': str(error)},
                    )
                    return None
        return msgspec.structs.replace(
            part,
            age_ms=part.age_ms + now_ms - waiting.received_at_ms,
            entries=tuple(entries),
        )

    def _pack(
        self, key: str, value: bytes | None, revision: int
    ) -> packing.PackedValue | None:
        """Return a packed value, or None if it is small anyway."""
        if value is None or len(value) <= MAX_WHOLE_BYTES:
            return None
        packed = self._packed.get((key, revision))
        if packed is None:
            packed = packing.pack(value)
            self._packed[key, revision] = packed
            if len(self._packed) > MAX_PACKED_VALUES:
                self._packed.popitem(last=False)
        return packed

    def _find(self, digest: bytes) -> packing.PackedValue | None:
        for packed in self._packed.values():
            if packed.digest == digest:
                return packed
        return None

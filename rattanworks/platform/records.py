"""The platform's records under the product's keys and in its form."""

import threading
from collections import OrderedDict

import msgspec

from rattanworks.distribution.keys import (
    HEAD,
    ORDER_STATUS_PREFIX,
    ORDERS_PREFIX,
)
from rattanworks.exceptions import StoreRecordError
from rattanworks.model.order import MoveOrder, OrderStatus
from rattanworks.model.service import MoveStatus
from rattanworks.platform.configuration import translate
from rattanworks.platform.names import parse_duration
from rattanworks.utils.codec import decode_json, encode_json

CONFIGURATION_KEY = "op/config"
ROLLOUTS_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
# The product's prefix and the platform's, of records that operators share.
OPERATORS_PREFIXES = (
    (ORDERS_PREFIX, ROLLOUTS_PREFIX),
    (ORDER_STATUS_PREFIX, ROLLOUT_STATUS_PREFIX),
)
STATUS_BY_WORD = {
    "running": MoveStatus.RUNNING,
    "completed": MoveStatus.DONE,
    "rolled_back": MoveStatus.TAKEN_BACK,
}
WORD_BY_STATUS = {status: word for word, status in STATUS_BY_WORD.items()}
# Versions whose blobs are kept: the newest and some that peers may still fetch.
KEPT_VERSIONS = 4


class _Rollout(msgspec.Struct, frozen=True):
    service: str
    to_version: str = msgspec.field(name="targetVersion")
    within: str


class _RolloutStatus(msgspec.Struct, frozen=True):
    service: str
    state: str
    to_version: str = msgspec.field(name="targetVersion")


class Records:
    """Translates keys and values; the product's own keys lie under ``prefix``.

    The operator's configuration is the head record, its rollouts are move orders.
    The blobs of the latest configurations are kept, as the store has none.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._lock = threading.Lock()
        self._versions_by_hash = OrderedDict()

    def wire_key(self, key):
        """Return the platform's key of an own key."""
        if key == HEAD:
            return CONFIGURATION_KEY
        for own, wire in OPERATORS_PREFIXES:
            if key.startswith(own):
                return wire + key.removeprefix(own)
        return self._prefix + key

    def own_key(self, wire_key):
        """Return the own key of a platform's key, None for other records."""
        if wire_key == CONFIGURATION_KEY:
            return HEAD
        for own, wire in (*OPERATORS_PREFIXES, ("", self._prefix)):
            if wire_key.startswith(wire):
                return own + wire_key.removeprefix(wire)
        return None

    def wire_prefixes(self, prefix):
        """Return the prefixes under which the keys of an own prefix lie."""
        prefixes = [self._prefix + prefix]
        if HEAD.startswith(prefix):
            prefixes += [CONFIGURATION_KEY, *(wire for _, wire in OPERATORS_PREFIXES)]
        return prefixes

    def readable_value(self, key, value):
        """Return a value in the product's form, as it is when it cannot be read."""
        # One record that cannot be read must not keep the others back; whoever
        # reads its value meets the fault again and logs it.
        try:
            return self.own_value(key, value)
        except StoreRecordError:
            return value

    def own_value(self, key, value):
        """Return a value in the product's form; raise StoreRecordError."""
        if key == HEAD:
            version = translate(value)
            self._keep(version)
            return encode_json(version.head)
        try:
            if key.startswith(ORDERS_PREFIX):
                return _own_order(value)
            if key.startswith(ORDER_STATUS_PREFIX):
                return _own_status(value)
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            raise StoreRecordError(f"{key} cannot be read: {error!r}") from error
        return value

    def wire_value(self, key, value):
        """Return a value in the platform's form."""
        if not key.startswith(ORDER_STATUS_PREFIX):
            return value
        status = decode_json(value, OrderStatus)
        return encode_json(
            _RolloutStatus(
                status.service, WORD_BY_STATUS[status.status], status.to_version
            )
        )

    def kept_blob(self, wanted):
        """Return the content of a blob by its hash, None when it is not kept."""
        with self._lock:
            for version in self._versions_by_hash.values():
                if wanted in version.content_by_hash:
                    return version.content_by_hash[wanted]
        return None

    def _keep(self, version):
        with self._lock:
            self._versions_by_hash[version.head.manifest_hash] = version
            while len(self._versions_by_hash) > KEPT_VERSIONS:
                self._versions_by_hash.popitem(last=False)


def _own_order(value):
    order = decode_json(value, _Rollout)
    seconds = parse_duration(order.within)
    return encode_json(MoveOrder(order.service, order.to_version, seconds))


def _own_status(value):
    status = decode_json(value, _RolloutStatus)
    return encode_json(
        OrderStatus(status.service, status.to_version, STATUS_BY_WORD[status.state])
    )

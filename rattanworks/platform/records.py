"""Translates keys and values of store records between the platform and the product."""

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
from rattanworks.utils.logging import log_event

CONFIGURATION_KEY = "op/config"
ROLLOUTS_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
# The product's prefix and the platform's, for records shared with operators.
OPERATOR_PREFIXES = (
    (ORDERS_PREFIX, ROLLOUTS_PREFIX),
    (ORDER_STATUS_PREFIX, ROLLOUT_STATUS_PREFIX),
)
STATUS_BY_STATE = {
    "running": MoveStatus.RUNNING,
    "completed": MoveStatus.DONE,
    "rolled_back": MoveStatus.TAKEN_BACK,
}
STATE_BY_STATUS = {status: state for state, status in STATUS_BY_STATE.items()}
# Versions whose blobs are kept: the newest, and some that peers may still fetch.
KEPT_VERSIONS = 4


class _Rollout(msgspec.Struct, frozen=True):
    service: str
    to_version: str = msgspec.field(name="targetVersion")
    within: str


class _RolloutStatus(msgspec.Struct, frozen=True):
    service: str
    state: str
    to_version: str = msgspec.field(name="targetVersion")


class RecordTranslator:
    """Translates keys and values between the product's form and the platform's.

    The operator's configuration becomes the head record, and the operator's rollouts
    become move orders; all other keys of the product are stored under ``prefix``. Wire
    keys, values and prefixes are the platform's. The blobs of the latest configurations
    are kept here, as the store has none.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._lock = threading.Lock()
        self._versions_by_hash = OrderedDict()

    def wire_key(self, key):
        """Return the platform's key for a product's key."""
        if key == HEAD:
            return CONFIGURATION_KEY
        for product_prefix, wire_prefix in OPERATOR_PREFIXES:
            if key.startswith(product_prefix):
                return wire_prefix + key.removeprefix(product_prefix)
        return self._prefix + key

    def product_key(self, wire_key):
        """Return the product's key for a platform's key, None for other records."""
        if wire_key == CONFIGURATION_KEY:
            return HEAD
        for product_prefix, wire_prefix in (*OPERATOR_PREFIXES, ("", self._prefix)):
            if wire_key.startswith(wire_prefix):
                return product_prefix + wire_key.removeprefix(wire_prefix)
        return None

    def wire_prefixes(self, prefix):
        """Return the platform's prefixes that cover a prefix of the product."""
        prefixes = [self._prefix + prefix]
        if HEAD.startswith(prefix):
            prefixes += [
                CONFIGURATION_KEY,
                *(wire_prefix for _, wire_prefix in OPERATOR_PREFIXES),
            ]
        return prefixes

    def product_value_or_empty(self, key, value):
        """Return a value in the product's form, b"" if it cannot be decoded."""
        # One invalid record must not hide the other records of a list or a watch. The
        # value itself might decode in the product's form, which is not the operator's.
        try:
            return self.product_value(key, value)
        except StoreRecordError as error:
            log_event("record-unreadable", key=key, reason=str(error))
            return b""

    def product_value(self, key, value):
        """Return a value in the product's form; raise StoreRecordError."""
        if key == HEAD:
            version = translate(value)
            self._keep(version)
            return encode_json(version.head)
        try:
            if key.startswith(ORDERS_PREFIX):
                return _translate_order(value)
            if key.startswith(ORDER_STATUS_PREFIX):
                return _translate_status(value)
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
                status.service, STATE_BY_STATUS[status.status], status.to_version
            )
        )

    def kept_blob(self, blob_hash):
        """Return the content of a blob by its hash, None when it is not kept."""
        with self._lock:
            for version in self._versions_by_hash.values():
                if blob_hash in version.content_by_hash:
                    return version.content_by_hash[blob_hash]
        return None

    def _keep(self, version):
        with self._lock:
            is_new = version.head.manifest_hash not in self._versions_by_hash
            self._versions_by_hash[version.head.manifest_hash] = version
            while len(self._versions_by_hash) > KEPT_VERSIONS:
                self._versions_by_hash.popitem(last=False)
        if is_new:
            _log_replacements(version)


def _log_replacements(version):
    for replacement in version.replacements:
        log_event(
            "configuration-value-replaced",
            version=version.head.version,
            field=replacement.field,
            value=replacement.value,
            used=replacement.used,
        )


def _translate_order(value):
    order = decode_json(value, _Rollout)
    seconds = parse_duration(order.within)
    return encode_json(MoveOrder(order.service, order.to_version, seconds))


def _translate_status(value):
    status = decode_json(value, _RolloutStatus)
    return encode_json(
        OrderStatus(status.service, status.to_version, STATUS_BY_STATE[status.state])
    )

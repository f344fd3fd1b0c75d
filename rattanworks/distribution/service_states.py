"""Decoding of the records of services' states."""

from rattanworks.distribution.keys import service_key
from rattanworks.exceptions import StoreRecordError
from rattanworks.model.service import ServiceState
from rattanworks.utils.codec import DecodeError, decode_json


def decode_state(entry):
    """Return the ServiceState in a StoreEntry; raise StoreRecordError."""
    try:
        state = decode_json(entry.value, ServiceState)
    except DecodeError as error:
        raise StoreRecordError(
            f"the record at {entry.key} cannot be read ({error}); check which tool "
            "wrote it"
        ) from error
    if entry.key != service_key(state.service):
        raise StoreRecordError(
            f"the record at {entry.key} is of another service, {state.service}; "
            "check which tool wrote it"
        )
    return state

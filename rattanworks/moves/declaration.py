"""Declares which version serves a service before its first move."""

from concurrent.futures import ThreadPoolExecutor

from rattanworks.distribution.keys import service_key
from rattanworks.exceptions import StoreConflictError, StoreError
from rattanworks.model.service import ServiceState
from rattanworks.moves.record import ServiceRecords
from rattanworks.ports.base import ABSENT
from rattanworks.utils.codec import encode_json
from rattanworks.utils.logging import log_event


class ServiceDeclarer:
    """Declares services on a thread of its own, one at a time.

    A backend server's heartbeat, which calls ``declare``, must be answered within a
    second, and a write to the store may take that long. If a declaration fails, the
    next heartbeat starts another one.
    """

    def __init__(self, store, services, executor=None):
        self._store = store
        self._services = services
        self._executor = executor or ThreadPoolExecutor(1, "declare")
        self._declaration = None

    def declare(self, service, version):
        """Start to declare a service unless it is known or a declaration runs."""
        is_running = self._declaration is not None and not self._declaration.done()
        if is_running or service in self._services.rows_by_name:
            return
        self._declaration = self._executor.submit(
            declare_service, self._store, self._services, service, version
        )

    def close(self):
        """Stop without waiting for a declaration that runs."""
        self._executor.shutdown(wait=False, cancel_futures=True)


def declare_service(store, services, service, version):
    """Make ``version`` the serving one unless the service is declared already.

    Return whether the service's state is known afterwards.
    """
    if service in services.rows_by_name:
        return True
    state = ServiceState(service, 1, version)
    try:
        store.put(service_key(service), encode_json(state), ABSENT)
    except StoreConflictError:
        return _read_declared(store, services, service)
    except StoreError as error:
        log_event("service-not-declared", service=service, reason=str(error))
        return False
    services.merge((state,))
    return True


def _read_declared(store, services, service):
    try:
        recorded = ServiceRecords(store).read(service)
    except StoreError as error:
        log_event("service-not-declared", service=service, reason=str(error))
        return False
    if recorded is None:
        return False
    services.merge((recorded.state,))
    return True

"""Keys of the records in the store."""

HEAD = "shared/head"
SHARED_PREFIX = "shared/"
SERVICES_PREFIX = "shared/services/"
ORDERS_PREFIX = "shared/orders/"
ORDER_STATUS_PREFIX = "shared/order-status/"
BLOBS_PREFIX = "blobs/"
WATCHERS_PREFIX = "roles/watcher/"
MOVE_ROLES_PREFIX = "roles/move/"
MOVES_PREFIX = "moves/"


def blob_key(content_hash):
    """Return the key of a blob."""
    return f"{BLOBS_PREFIX}{content_hash}"


def service_key(service):
    """Return the key of a service's state."""
    return f"{SERVICES_PREFIX}{service}"


def order_key(service):
    """Return the key of the operators' order to move a service."""
    return f"{ORDERS_PREFIX}{service}"


def order_status_key(service):
    """Return the key of the status of an order."""
    return f"{ORDER_STATUS_PREFIX}{service}"


def move_role_key(service):
    """Return the key of the lease for the role that runs a service's move."""
    return f"{MOVE_ROLES_PREFIX}{service}"


def moves_prefix(service):
    """Return the prefix of the records of a service's moves."""
    return f"{MOVES_PREFIX}{service}/"


def move_key(service, generation):
    """Return the key of the record of one move."""
    return f"{moves_prefix(service)}{generation:08}"

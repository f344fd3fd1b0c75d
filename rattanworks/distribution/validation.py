"""Validation of a version on each node before it comes into force."""

from rattanworks.exceptions import InvalidInputGroup, VersionRefusedError
from rattanworks.settings.base import Faults, name_option
from rattanworks.settings.lists import check_plans

NAME = name_option()


def validate_version(manifest, lists):
    """Raise VersionRefusedError unless every entry is within its bounds."""
    try:
        check_plans(lists.plans_by_name.values(), lists.limits)
        _check_customers(lists.customers_by_id)
    except InvalidInputGroup as group:
        reasons = "; ".join(str(fault) for fault in group.exceptions)
        raise VersionRefusedError(
            f"version {manifest.version}: {reasons}; apply a corrected version"
        ) from group


def _check_customers(customer_ids):
    faults = Faults("customers")
    for customer_id in customer_ids:
        NAME.validate(customer_id, customer_id, faults)
    faults.raise_if_any()

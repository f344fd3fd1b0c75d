"""The operators' lists: customers with their plans, plans with their limits."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from rattanworks.model.route import DEFAULT_LIMITS, CallerLimits, Route, WeightedService

DEFAULT_PRIORITY = 5
NO_CUSTOMER = ""


@dataclass(frozen=True, slots=True)
class ServiceUse:
    """What a plan grants on one service.

    ``calls_per_second`` is the sustained rate for each customer and ``burst``
    the number of calls that may arrive at once. ``routes`` are path prefixes.
    """

    service: str
    calls_per_second: float
    burst: int
    routes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan; a lower ``priority`` number is served first.

    ``routes`` are offered in addition to the path prefixes of ``uses``. The plan
    with ``is_default`` applies to callers that name no customer.
    """

    name: str
    priority: int
    uses: tuple[ServiceUse, ...]
    routes: tuple[Route, ...] = ()
    is_default: bool = False

    def all_routes(self):
        """Return the routes of the plan, including those of its uses."""
        use_routes = tuple(
            Route(prefix, prefix.rstrip("/"), (WeightedService(use.service),))
            for use in self.uses
            for prefix in use.routes
        )
        return (*use_routes, *self.routes)


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and the name of the plan it holds."""

    id: str
    plan: str


@dataclass(frozen=True, slots=True)
class OperatorLists:
    """Both lists, already checked against each other.

    ``limits`` apply to the connections of callers.
    """

    customers_by_id: Mapping[str, Customer]
    plans_by_name: Mapping[str, Plan]
    limits: CallerLimits = DEFAULT_LIMITS

    @classmethod
    def of(cls, customers, plans, limits=DEFAULT_LIMITS):
        """Index customers and plans by their keys."""
        return cls(
            MappingProxyType({customer.id: customer for customer in customers}),
            MappingProxyType({plan.name: plan for plan in plans}),
            limits,
        )

    def plan_of(self, customer_id):
        """Return the plan of a customer, or None if the customer is unknown.

        For NO_CUSTOMER, return the default plan, or None if there is none.
        """
        customer = self.customers_by_id.get(customer_id)
        if customer is not None:
            return self.plans_by_name[customer.plan]
        if customer_id != NO_CUSTOMER:
            return None
        defaults = (plan for plan in self.plans_by_name.values() if plan.is_default)
        return next(defaults, None)

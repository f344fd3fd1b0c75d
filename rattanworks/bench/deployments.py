"""The two example deployments that the demo, the benches and the tests run."""

from dataclasses import dataclass
from importlib import resources


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """A service and its number of endpoints."""

    name: str
    endpoints: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """An example fleet: its services, failure domains and limits of each server.

    ``customer`` sends the calls; the three ``..._service`` fields name the services
    that receive look-ups, orders and uploads.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceSize, ...]
    slots: int
    connections: int
    lookup_service: str
    order_service: str
    upload_service: str
    customer: str

    @property
    def customers_path(self):
        """Return the path of the example customers list."""
        return self._example("customers.toml")

    @property
    def plans_path(self):
        """Return the path of the example plans list."""
        return self._example("plans.toml")

    def _example(self, name):
        return str(resources.files("rattanworks") / "examples" / self.name / name)


MOULAGES_FOSSILES = Deployment(
    name="moulages-fossiles",
    region="qc-est",
    failure_domains=("qc-est-a", "qc-est-b", "qc-est-c"),
    services=(
        ServiceSize("catalogue", 5),
        ServiceSize("commandes", 3),
        ServiceSize("moules", 3),
    ),
    slots=6,
    connections=100,
    lookup_service="catalogue",
    order_service="commandes",
    upload_service="moules",
    customer="boutique-montreal",
)

PALHETA_VIVA = Deployment(
    name="palheta-viva",
    region="serra-sul",
    failure_domains=("caxias", "bento", "farroupilha"),
    services=(
        ServiceSize("balcao", 5),
        ServiceSize("agenda", 3),
        ServiceSize("escuta", 3),
    ),
    slots=20,
    connections=100,
    lookup_service="balcao",
    order_service="agenda",
    upload_service="escuta",
    customer="gaiteiro-vacaria",
)

DEPLOYMENTS = (MOULAGES_FOSSILES, PALHETA_VIVA)

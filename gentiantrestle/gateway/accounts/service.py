"""The parts of an instance that client accounts need."""

from collections.abc import Callable, Iterator

from gentiantrestle.gateway.accounts.allowance_service import (
    AllowanceService,
)
from gentiantrestle.gateway.fleet_context import FleetContext, InstanceConfig
from gentiantrestle.gateway.membership.messages import InstanceStatus
from gentiantrestle.gateway.metrics import Metrics
from gentiantrestle.gateway.ports import Adapter
from gentiantrestle.gateway.request_handler import RequestHandler
from gentiantrestle.gateway.state.confirming import ConfigConfirming
from gentiantrestle.supervisor import Child


class AccountService:
    """Confirms the configuration, and counts requests of accounts."""

    def __init__(
        self,
        cfg: InstanceConfig,
        fleet: FleetContext,
        adapter: Adapter,
        read_status: Callable[[], InstanceStatus],
    ) -> None:
        """Use what ``read_status`` returns of this instance."""
        self.confirming = ConfigConfirming(
            fleet, cfg.revocation_time, adapter.store, adapter.kinds
        )
        self.allowances = AllowanceService(
            fleet, cfg.allowance_terms, read_status
        )

    def children(self) -> Iterator[Child]:
        """Yield the tasks that the supervisor runs."""
        yield from self.confirming.children()
        yield Child('allowances', self.allowances.run)

    def connect(self, handler: RequestHandler, metrics: Metrics) -> None:
        """Have the requests of callers judged and charged, and counted."""
        handler.authenticator.is_confirmed = self.confirming.is_fresh
        handler.charge = self.allowances.charge
        handler.record_key_refusal = metrics.record_key_refusal
        self.allowances.record = metrics.record_charge

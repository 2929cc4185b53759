"""Logs which accounts are over their share of slots, at a bounded rate."""

from gentiantrestle import events
from gentiantrestle.gateway.slots.fair_use import FairUse
from gentiantrestle.gateway.slots.messages import Ask

LOG_INTERVAL = 5.0  # seconds until an account is logged again


class ShareLog:
    """The accounts that were logged of late, by service."""

    def __init__(self) -> None:
        """Start with none."""
        self._logged: dict[tuple[str, str], float] = {}

    def note_refused(self, ask: Ask, use: FairUse, now: float) -> None:
        """Log the account of a refused request, if it is over its share."""
        standing = use.standings(now).accounts.get(ask.account)
        if standing is None or not standing.level:
            return
        self._logged = {
            known: at
            for known, at in self._logged.items()
            if now - at < LOG_INTERVAL
        }
        known = (ask.service, ask.account)
        if known in self._logged:
            return
        self._logged[known] = now
        events.emit(
            events.OVER_SHARE,
            account=ask.account,
            service=ask.service,
            slots=round(standing.use, 1),
            share=round(standing.share, 1),
        )

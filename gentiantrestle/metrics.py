"""Counters and gauges of the /metrics page."""

from aioprometheus import Counter, Gauge, Registry, render

from gentiantrestle.config import Settings


class Metrics:
    """All metrics of one instance."""

    def __init__(self, instance: str, zone: str) -> None:
        """Register every metric under the instance's labels."""
        self.registry = Registry()
        self._labels = {'instance': instance, 'zone': zone}
        self.requests = self._counter(
            'gentiantrestle_requests_total',
            'Answered requests by route and status.',
        )
        self.attempts = self._counter(
            'gentiantrestle_attempts_total',
            'Attempts on upstreams by outcome.',
        )
        self.store_calls = self._counter(
            'gentiantrestle_store_calls_total',
            'Calls to the object API; a long-polling watch counts as one.',
        )
        self.tokens = self._counter(
            'gentiantrestle_tokens_total',
            'Stream events forwarded to callers.',
        )
        self.batch = self._counter(
            'gentiantrestle_batch_total',
            'Batch items and chunks by outcome.',
        )
        self.in_flight = self._gauge(
            'gentiantrestle_in_flight',
            'Requests in flight by class.',
        )
        self.config_revision = self._gauge(
            'gentiantrestle_config_revision',
            'Configuration revision in force.',
        )

    @classmethod
    def from_config(cls, cfg: Settings) -> 'Metrics':
        """Use the instance and zone of the settings as labels."""
        return cls(cfg.instance, cfg.zone)

    def render(self, accepts: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the body and content type for an ``Accept`` list."""
        body, headers = render(self.registry, list(accepts))
        return body, headers['Content-Type']

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, self._labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, self._labels, registry=self.registry)

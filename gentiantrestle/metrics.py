"""Counters and gauges that /metrics shows."""

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
            'Calls to the object API; a waiting watch is one.',
        )
        self.tokens = self._counter(
            'gentiantrestle_tokens_total',
            'Stream events passed on to callers.',
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
        """Label the metrics as the settings name the instance."""
        return cls(cfg.instance, cfg.zone)

    def render(self, accepts: tuple[str, ...]) -> tuple[bytes, str]:
        """Return the exposition text and its content type."""
        body, headers = render(self.registry, list(accepts))
        return body, headers['Content-Type']

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, self._labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, self._labels, registry=self.registry)

"""Counters and latency histograms of the gateway."""

from collections.abc import Callable
from typing import NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from gentiantrestle.gateway.exchange import Exchange

PATH = b'/metrics'
OK = 200
NOT_FOUND = 404
# Bucket bounds in s: dense around the latency targets, up to the timeouts.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0, 15.0)


class PolledGauge(NamedTuple):
    """A gauge and the function that returns its current value."""

    gauge: Gauge
    read: Callable[[], float]


class Metrics:
    """All metrics of a gateway instance."""

    def __init__(self, instance: str, zone: str) -> None:
        """Register the request metrics, labelled with instance and zone."""
        self._registry = Registry()
        self._labels = {'instance': instance, 'zone': zone}
        self._requests = Counter(
            'gentiantrestle_gateway_requests_total',
            "Callers' requests by route and outcome.",
            self._labels,
            registry=self._registry,
        )
        self._attempts = Counter(
            'gentiantrestle_gateway_attempts_total',
            'Attempts on upstreams by outcome and framing of the answer.',
            self._labels,
            registry=self._registry,
        )
        self._passed_on = Counter(
            'gentiantrestle_gateway_passed_on_total',
            'Attempts through other instances by outcome.',
            self._labels,
            registry=self._registry,
        )
        self._key_refusals = Counter(
            'gentiantrestle_gateway_key_refusals_total',
            "Callers' requests refused for their key, by reason.",
            self._labels,
            registry=self._registry,
        )
        self._charges = Counter(
            'gentiantrestle_gateway_allowance_charges_total',
            "Charges to accounts' allowances by outcome.",
            self._labels,
            registry=self._registry,
        )
        self._latency = Histogram(
            'gentiantrestle_gateway_request_seconds',
            'Time from a request to the end of its answer, by route.',
            self._labels,
            registry=self._registry,
            buckets=BUCKETS,
        )
        self._gauges: list[PolledGauge] = []

    def record_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count one request and the time in s that it took."""
        self._requests.inc({'route': route, 'outcome': outcome})
        self._latency.observe({'route': route}, seconds)

    def record_attempt(self, outcome: str, framing: str) -> None:
        """Count one attempt of a request on an upstream."""
        self._attempts.inc({'outcome': outcome, 'framing': framing})

    def record_passed_on(self, outcome: str) -> None:
        """Count one attempt of a request through another instance."""
        self._passed_on.inc({'outcome': outcome})

    def record_key_refusal(self, reason: str) -> None:
        """Count one request that is refused for its key."""
        self._key_refusals.inc({'reason': reason})

    def record_charge(self, outcome: str) -> None:
        """Count one charge of a request to its account."""
        self._charges.inc({'outcome': outcome})

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(
            f'gentiantrestle_gateway_{name}',
            description,
            self._labels,
            registry=self._registry,
        )
        self._gauges.append(PolledGauge(gauge, read))

    async def answer(self, exchange: Exchange) -> None:
        """Answer a scrape with all metrics; 404 on other paths."""
        if exchange.head.target.partition(b'?')[0] != PATH:
            await exchange.respond(NOT_FOUND, [])
            return
        for gauge, read in self._gauges:
            gauge.set({}, read())
        body, headers = render(self._registry, ['text/plain'])
        kind = headers['Content-Type'].encode()
        await exchange.respond(OK, [(b'content-type', kind)], body)

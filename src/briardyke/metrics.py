"""Provide OpenTelemetry instruments and render them as a Prometheus page."""

from __future__ import annotations

from functools import cache, lru_cache, partial
from typing import TYPE_CHECKING, Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

if TYPE_CHECKING:
    from opentelemetry.metrics import Counter, Histogram, Meter, UpDownCounter

PAGE_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@lru_cache(maxsize=1)
def meter() -> Meter:
    """Return the process's meter, with the Prometheus reader attached."""
    return MeterProvider(metric_readers=[PrometheusMetricReader()]).get_meter("briardyke")


@cache
def counter(name: str, description: str) -> Counter:
    """Return the counter with this name, creating it on first use."""
    return meter().create_counter(name, description=description)


@cache
def up_down_counter(name: str, description: str) -> UpDownCounter:
    """Return the up-down counter with this name, creating it on first use."""
    return meter().create_up_down_counter(name, description=description)


@cache
def histogram_ms(name: str, description: str) -> Histogram:
    """Return the histogram with this name in milliseconds, creating it on first use."""
    return meter().create_histogram(name, unit="ms", description=description)


def prometheus_page() -> bytes:
    """Return all instruments in the Prometheus text format."""
    meter()
    return generate_latest(REGISTRY)


def page_of(figures: dict[str, list[tuple[float, dict[str, Any]]]]) -> bytes:
    """Return figures that were counted without instruments in the Prometheus text format.

    :param figures: values with their attributes, by name.
    """
    for name in figures:
        if name not in _observed:
            meter().create_observable_gauge(name, callbacks=[partial(_observe, name)])
    _observed.update(figures)
    return prometheus_page()


def _observe(name: str, options: Any) -> list[Observation]:
    return [Observation(value, attributes) for value, attributes in _observed[name]]


_observed: dict[str, list[tuple[float, dict[str, Any]]]] = {}

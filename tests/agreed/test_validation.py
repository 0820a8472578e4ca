"""Check the parsing and validation of configuration documents."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briardyke.agreed.feasibility import FeasibilityChecker
from briardyke.agreed.records import UpstreamRegistration
from briardyke.agreed.validation import check_document

UPSTREAMS = {
    name: UpstreamRegistration(name, "i", kind, capacity, True)
    for name, kind, capacity in [
        ("a-1", "engine", 100),
        ("a-2", "engine", 60),
        ("b-1", "engine", 50),
        ("s-1", "service", 0),
    ]
}


def model(size: Any, pattern: str = "a-*", **more: Any) -> dict[str, Any]:
    return {"size_bytes": size, "instances": [pattern], **more}


def reasons(document: Any) -> list[str]:
    return list(check_document(document, FeasibilityChecker(UPSTREAMS)).err() or ())


class TestParsing:
    """Guards against documents that are read differently from what the operator meant."""

    @pytest.mark.parametrize(
        ("document", "reason"),
        [
            ([], "document: expected an object"),
            ({"model": {}}, "model: unknown key"),
            ({"models": []}, "models: expected an object"),
            ({"models": {"m": 1}}, "models.m: expected an object"),
            ({"models": {"*": model(1)}}, "models.*: not a valid name"),
            ({"services": {"a/b": {"instances": ["s-*"]}}}, "services.a/b: not a valid name"),
            ({"models": {"m": model(1, sizes=1)}}, "models.m.sizes: unknown key"),
            ({"models": {"m": model(True)}}, "models.m.size_bytes: expected an integer"),
            ({"models": {"m": model("1")}}, "models.m.size_bytes: expected an integer"),
            ({"models": {"m": model(1.0)}}, "models.m.size_bytes: expected an integer"),
            ({"models": {"m": model(0)}}, "models.m.size_bytes: must be greater than 0"),
            ({"models": {"m": model(2**64)}}, "models.m.size_bytes: is too large"),
            ({"models": {"m": model(1, priority=-1)}}, "models.m.priority: must not be negative"),
            ({"adapters": {"a": {"size_bytes": 1}}}, "adapters.a.model: is required"),
            (
                {"services": {"s": {"instances": []}}},
                "services.s.instances: expected at least one pattern",
            ),
            (
                {"services": {"s": {"instances": "s-*"}}},
                "services.s.instances: expected a list of non-empty strings",
            ),
            (
                {"callers": {"c": {"api_key_sha256": "XYZ"}}},
                "callers.c.api_key_sha256: expected 64 lower-case hexadecimal digits",
            ),
            (
                {"limits": {"l": {"requests_per_second": float("inf")}}},
                "limits.l.requests_per_second: must be finite",
            ),
            (
                {"limits": {"l": {"tokens_per_second": float("nan")}}},
                "limits.l.tokens_per_second: must be finite",
            ),
            (
                {"limits": {"l": {"concurrent_requests": -1}}},
                "limits.l.concurrent_requests: must not be negative",
            ),
            ({"targets": {"first_token_ms": 0}}, "targets.first_token_ms: must be greater than 0"),
            ({"placement": {"move_weight": []}}, "placement.move_weight: expected a number"),
        ],
    )
    def test_each_error_names_its_field(self, document: Any, reason: str) -> None:
        assert reasons(document) == [reason]

    def test_every_section_of_a_document_is_read(self) -> None:
        document = {
            "models": {"m1": model(1, minimum_replicas=2, priority=3)},
            "adapters": {"a1": {"model": "m1", "size_bytes": 1}},
            "services": {"o": {"instances": ["s-*"], "non_idempotent_paths": ["/bookings"]}},
            "callers": {"shop": {"api_key_sha256": "0" * 64, "weight": 2}},
            "limits": {"l1": {"caller": "*", "adapter": "a1", "requests_per_second": 0}},
            "placement": {"move_weight": 0},
            "targets": {"first_token_ms": 600},
        }
        configuration = check_document(document, FeasibilityChecker(UPSTREAMS)).unwrap()
        assert configuration.models["m1"].instances == ("a-*",)
        assert configuration.services["o"].non_idempotent_paths == ("/bookings",)
        assert configuration.limits["l1"].requests_per_second == 0.0
        assert configuration.limits["l1"].tokens_per_second is None
        assert (configuration.placement.move_weight, configuration.targets.first_token_ms) == (
            0.0,
            600.0,
        )


class TestFeasibility:
    """Guards against accepting versions with models that cannot be served."""

    def test_all_reasons_are_returned_at_once(self) -> None:
        document = {
            "models": {"m1": model(-1), "m2": model(1, "c-*"), "x": model(1)},
            "adapters": {
                "x": {"model": "m1", "size_bytes": 1},
                "y": {"model": "m9", "size_bytes": 1},
            },
            "services": {"s": {"instances": ["a-*"]}},
            "callers": {n: {"api_key_sha256": "0" * 64} for n in ("c1", "c2")},
            "limits": {
                "l": {"caller": "c9", "model": "m9", "adapter": "a9"},
                "ok": {"model": "m1"},
            },
        }
        assert reasons(document) == [
            "models.m1.size_bytes: must not be negative",
            "adapters.x: name is also a model",
            "adapters.y.model: unknown model m9",
            "callers.c2.api_key_sha256: is also the key of c1",
            "limits.l.caller: unknown caller c9",
            "limits.l.model: unknown model m9",
            "limits.l.adapter: unknown adapter a9",
            "services.s.instances: match no registered service",
            "models.m2.instances: match no registered engine",
        ]

    @pytest.mark.parametrize(
        ("models", "adapter_sizes", "reason"),
        [
            ({"m": model(101)}, [], "models.m.size_bytes: 101 exceeds the largest matching"),
            ({"m": model(10, minimum_replicas=3)}, [], "models.m.minimum_replicas: 3 replicas"),
            ({"m": model(70, minimum_replicas=2)}, [], "models.m: only 1 of 2 replicas"),
            ({"m": model(100), "n": model(61)}, [], "models.n: only 0 of 1 replicas"),
            ({"m": model(90)}, [11], "adapters.m-0.size_bytes: 11 does not fit beside model m"),
            ({"m": model(90), "n": model(55)}, [10, 8], ""),
            ({"m": model(50, "b-*")}, [1], "adapters.m-0.size_bytes: 1 does not fit"),
            ({"m": model(34), "n": model(55), "o": model(60)}, [6], ""),
            ({"m": model(40), "n": model(55), "o": model(60)}, [6], "models.m: only 0 of 1"),
            ({"m": model(100, minimum_replicas=0), "n": model(100)}, [], ""),
        ],
    )
    def test_models_and_adapters_must_fit_on_engines(
        self, models: dict[str, Any], adapter_sizes: list[int], reason: str
    ) -> None:
        document = {
            "models": models,
            "adapters": {
                f"m-{n}": {"model": "m", "size_bytes": s} for n, s in enumerate(adapter_sizes)
            },
        }
        found = reasons(document)
        assert len(found) == bool(reason)
        assert "".join(found).startswith(reason)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        capacities=st.lists(st.integers(5, 12), min_size=130, max_size=200),
        model_parameters=st.lists(
            st.tuples(st.integers(1, 12), st.sampled_from(["e*", "e1*"]), st.integers(0, 60)),
            min_size=1,
            max_size=12,
        ),
    )
    def test_the_search_in_blocks_equals_a_simple_first_fit(
        self, capacities: list[int], model_parameters: list[tuple[int, str, int]]
    ) -> None:
        ids = [f"e{n:03d}" for n in range(len(capacities))]
        upstreams = {
            i: UpstreamRegistration(i, "i", "engine", c, True)
            for i, c in zip(ids, capacities, strict=True)
        }
        models = {
            f"m{n:02d}": model(size, pattern, minimum_replicas=count)
            for n, (size, pattern, count) in enumerate(model_parameters)
        }
        free_bytes = dict(zip(ids, capacities, strict=True))
        expected = []
        for name in sorted(models, key=lambda n: (-models[n]["size_bytes"], n)):
            size, count = models[name]["size_bytes"], models[name]["minimum_replicas"]
            matching = [i for i in ids if i.startswith(models[name]["instances"][0][:-1])]
            if size > max(upstreams[i].capacity_bytes for i in matching) or count > len(matching):
                continue
            chosen = [i for i in matching if free_bytes[i] >= size][:count]
            for i in chosen:
                free_bytes[i] -= size
            if len(chosen) < count:
                expected.append(f"models.{name}: only {len(chosen)} of {count}")
        found = check_document({"models": models}, FeasibilityChecker(upstreams)).err() or ()
        assert [r.split(" replicas")[0] for r in found if ": only" in r] == expected

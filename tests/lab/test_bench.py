"""Guards against a bench that shows a missed target as met."""

import dataclasses
import random
from typing import Any

from kumquat_lab.arrivals import Arrival, make_model_call
from kumquat_lab.bench import evaluate_targets
from kumquat_lab.caller import CallOutcome
from kumquat_lab.client_accounts import HAGESTAD
from kumquat_lab.emulated_responses import response_text, token_text
from kumquat_lab.load import met_targets


def make_document(**changes: Any) -> dict[str, Any]:
    metrics = {
        "goodput_per_s": 10.0,
        "goodput_of_limit": 0.95,
        "prefill_wasted": 0.0,
        "ttft_ms": {"owner-check": {"p95": 900.0}},
        "tbt_ms": {"owner-check": {"p95": 30.0}},
        "refused_untruthfully": 0,
        "held_after_1s": 0,
        "doubled": 0,
        "damaged": 0,
        "lost": 0,
    }
    baseline = metrics | {"goodput_per_s": 6.0}
    return {"policies": {"kumquat": metrics | changes, "round_robin": baseline}}


def missed(label: str, **changes: Any) -> set[str]:
    results = evaluate_targets({label: make_document(**changes)})
    return {item.target for item in results if not item.met}


def test_all_targets_of_the_crest_can_be_met():
    assert missed("crest") == set()


def test_each_missed_target_is_shown():
    assert missed("crest", goodput_of_limit=0.89) == {"crest: goodput / limit >= 0.9"}
    assert missed("crest", goodput_per_s=8.9) == {
        "crest: goodput / best baseline >= 1.5"
    }
    assert missed("crest", ttft_ms={}) == {"crest: owner-check TTFT p95 ms <= 1000"}
    assert missed("steady") == {"steady: goodput / limit >= 0.97"}
    assert missed("cancel", held_after_1s=1) == {"cancel: pieces held after 1 s <= 0"}
    assert missed("cancel", doubled=1) == {"all scenarios: doubled <= 0"}


def test_overload_is_judged_flat_only_with_both_loads():
    documents = {
        "overload-2": make_document(),
        "overload-5": make_document(goodput_per_s=8.0),
    }
    targets = {item.target for item in evaluate_targets(documents) if not item.met}
    assert targets == {"overload: goodput at 5 times / at 2 times >= 0.95"}


def test_good_needs_both_targets_and_a_right_answer():

    work = HAGESTAD.find_work("owner-check")
    call = make_model_call(random.Random(1), HAGESTAD, work)
    arrival = Arrival(0.0, HAGESTAD, call)
    good = {"kind": "ok", "ttft_ms": 1000.0, "tbt_ms": 40.0}
    assert met_targets(arrival, CallOutcome("owner-check", **good))
    for change in ({"ttft_ms": 1000.1}, {"tbt_ms": 40.1}, {"kind": "damaged"}):
        assert not met_targets(arrival, CallOutcome("owner-check", **(good | change)))


def test_request_that_the_limit_leaves_out_is_never_good():
    work = HAGESTAD.find_work("owner-check")
    call = make_model_call(random.Random(1), HAGESTAD, work)
    call = dataclasses.replace(call, cancel_after_s=1.5)
    outcome = CallOutcome("owner-check", kind="ok", ttft_ms=10.0, tbt_ms=10.0)
    assert not met_targets(Arrival(0.0, HAGESTAD, call), outcome)


def test_answer_is_the_sequence_of_its_tokens_and_differs_by_prompt():
    text = response_text("m", "a b", 5)
    assert len(text.split()) == 5
    assert response_text("m", "a b", 9).startswith(text)
    assert text != response_text("m", "a c", 5)
    assert token_text(1, 0) != token_text(1, 1)

"""Runs all scenarios and writes a table and plots under ``bench/``.

The policies of a scenario run concurrently, each on its own stack, and so do
the scenarios with one policy. The page shows the commands, and for each target
of section 1 of the design page whether it was met.
"""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib

from .client_accounts import CLIENT_ACCOUNTS, HAGESTAD
from .compare import POLICIES, compare_side_by_side, measurement_lock
from .scenarios import ScenarioName, ScenarioOptions
from .stack import StackConfig

matplotlib.use("Agg")

import matplotlib.pyplot as plt

__all__ = ["BENCH_RUNS", "BenchRun", "evaluate_targets", "run_bench", "write_results"]

COMMAND = "python -m kumquat_lab bench"
OWN_POLICY = "kumquat"
INTERACTIVE_CLASS = "owner-check"
CLASSES = tuple(work.class_name for account in CLIENT_ACCOUNTS for work in account.work)
COLUMNS = (
    "run",
    "policy",
    "goodput",
    "of limit",
    *(f"goodput {name}" for name in CLASSES),
    "prefill wasted",
    *(f"TTFT {name}" for name in CLASSES),
    "refused by code",
    "repeated prefills",
    "doubled",
    "damaged",
    "lost",
    "held",
)


@dataclass(frozen=True)
class BenchRun:
    """One scenario with its policies; ``label`` names its result files."""

    label: str
    scenario: ScenarioName
    policies: tuple[str, ...]
    load: float = 0.0


BENCH_RUNS = (
    BenchRun("steady", ScenarioName.STEADY, POLICIES),
    BenchRun("crest", ScenarioName.CREST, POLICIES),
    BenchRun("straggler", ScenarioName.STRAGGLER, POLICIES),
    BenchRun("overload-2", ScenarioName.OVERLOAD, POLICIES, 2.0),
    BenchRun("overload-5", ScenarioName.OVERLOAD, (OWN_POLICY,), 5.0),
    BenchRun("cancel", ScenarioName.CANCEL, (OWN_POLICY,)),
    BenchRun("outage", ScenarioName.OUTAGE, (OWN_POLICY,)),
)


@dataclass(frozen=True)
class TargetResult:
    """A target, the measured value, and whether the target is met."""

    target: str
    measured: str
    met: bool


Documents = dict[str, dict[str, Any]]


async def run_bench(
    directory: Path,
    seed: int,
    seconds: float,
    labels: Sequence[str],
    lock_path: Path | None,
) -> None:
    """Run the scenarios named by ``labels`` and write the results of all."""
    directory.mkdir(parents=True, exist_ok=True)
    selected_runs = [run for run in BENCH_RUNS if run.label in labels]
    comparisons = [run for run in selected_runs if len(run.policies) > 1]
    single_policy_runs = [run for run in selected_runs if len(run.policies) == 1]
    async with measurement_lock(lock_path):
        for run in comparisons:
            await _run_one(run, directory, seed, seconds)
        await asyncio.gather(
            *(_run_one(run, directory, seed, seconds) for run in single_policy_runs)
        )
    write_results(directory)


async def _run_one(run: BenchRun, directory: Path, seed: int, seconds: float) -> None:
    options = ScenarioOptions(seed=seed, seconds=seconds, load=run.load)
    config = StackConfig(
        hosts_per_firm=2,
        prefill_engines=2,
        decode_engines=4,
        seed=seed,
        log_level="error",
    )
    document = await compare_side_by_side(run.scenario, options, run.policies, config)
    text = json.dumps(document, indent=1)
    (directory / f"{run.label}.json").write_text(text + "\n")


def write_results(directory: Path) -> None:
    """Write ``results.md`` and the plots from the result files."""
    documents = {
        run.label: json.loads((directory / f"{run.label}.json").read_text())
        for run in BENCH_RUNS
        if (directory / f"{run.label}.json").exists()
    }
    lines = ["# Results of the bench", "", *_header_lines(documents), ""]
    lines += [
        *_target_table(evaluate_targets(documents)),
        "",
        *_metrics_table(documents),
    ]
    (directory / "results.md").write_text("\n".join(lines) + "\n")
    _plot_goodput(documents, directory / "goodput.png")
    _plot_latency(documents, directory / "ttft.png")


def _header_lines(documents: Documents) -> list[str]:
    runs = sorted({(d["seed"], d["seconds"]) for d in documents.values()})
    commands = ", ".join(
        f"`{COMMAND} --seed {seed} --seconds {seconds:g}`" for seed, seconds in runs
    )
    return [
        f"Command: {commands}, possibly as several calls with `--runs`.",
        "`docs/lab.md` describes the scenarios and the limit. The policies of a",
        "scenario run side by side on one machine, so times include its load.",
    ]


def evaluate_targets(documents: Documents) -> list[TargetResult]:
    """Return the result of each target that the documents cover."""
    checks_by_label: dict[str, Callable[[Documents], list[TargetResult]]] = {
        "steady": _check_steady,
        "crest": _check_crest,
        "overload-2": _check_overload,
        "straggler": _check_straggler,
        "cancel": _check_cancel,
    }
    results = [
        result
        for label, check in checks_by_label.items()
        if label in documents
        for result in check(documents)
    ]
    return [*results, *_check_integrity(documents)]


def _own_metrics(documents: Documents, label: str) -> dict[str, Any]:
    metrics: dict[str, Any] = documents[label]["policies"][OWN_POLICY]
    return metrics


def _at_least(target: str, value: float, limit: float) -> TargetResult:
    return TargetResult(f"{target} >= {limit:g}", f"{value:.3f}", value >= limit)


def _at_most(target: str, value: float, limit: float) -> TargetResult:
    return TargetResult(f"{target} <= {limit:g}", f"{value:.3f}", value <= limit)


def _check_steady(documents: Documents) -> list[TargetResult]:
    metrics = _own_metrics(documents, "steady")
    return [
        _at_least("steady: goodput / limit", metrics["goodput_of_limit"], 0.97),
        _at_most("steady: prefill wasted", metrics["prefill_wasted"], 0.01),
    ]


def _check_crest(documents: Documents) -> list[TargetResult]:
    policies = documents["crest"]["policies"]
    metrics = policies[OWN_POLICY]
    best = max(
        (
            item["goodput_per_s"]
            for name, item in policies.items()
            if name != OWN_POLICY
        ),
        default=0.0,
    )
    ratio = metrics["goodput_per_s"] / best if best else float("inf")
    work = HAGESTAD.find_work(INTERACTIVE_CLASS)
    ttft, tbt = (
        metrics[key].get(INTERACTIVE_CLASS, {"p95": float("inf")})["p95"]
        for key in ("ttft_ms", "tbt_ms")
    )
    return [
        _at_least("crest: goodput / limit", metrics["goodput_of_limit"], 0.90),
        _at_least("crest: goodput / best baseline", ratio, 1.5),
        _at_most(f"crest: {INTERACTIVE_CLASS} TTFT p95 ms", ttft, work.ttft_target_ms),
        _at_most(f"crest: {INTERACTIVE_CLASS} TBT p95 ms", tbt, work.tbt_target_ms),
    ]


def _check_overload(documents: Documents) -> list[TargetResult]:
    labels = [name for name in ("overload-2", "overload-5") if name in documents]
    results = []
    for label in labels:
        metrics = _own_metrics(documents, label)
        untruthful = metrics["refused_untruthfully"]
        results += [
            _at_least(f"{label}: goodput / limit", metrics["goodput_of_limit"], 0.85),
            _at_most(f"{label}: prefill wasted", metrics["prefill_wasted"], 0.02),
            _at_most(f"{label}: untruthful refusals", untruthful, 0),
        ]
    if len(labels) == 2:
        two, five = (
            _own_metrics(documents, label)["goodput_per_s"] for label in labels
        )
        results.append(
            _at_least("overload: goodput at 5 times / at 2 times", five / two, 0.95)
        )
    return results


def _check_straggler(documents: Documents) -> list[TargetResult]:
    metrics = _own_metrics(documents, "straggler")
    results = [
        _at_most(f"straggler: {name} p99 TTFT / without", ratio, 1.5)
        for name, ratio in metrics["p99_ttft_ratio"].items()
        if name in CLASSES
    ]
    requests = sum(
        sum(kinds.values())
        for name, kinds in metrics["outcomes_by_class"].items()
        if name in CLASSES
    )
    extra = metrics["retries"] / requests
    return [*results, _at_most("straggler: repeated prefills", extra, 0.05)]


def _check_cancel(documents: Documents) -> list[TargetResult]:
    held = _own_metrics(documents, "cancel")["held_after_1s"]
    return [_at_most("cancel: pieces held after 1 s", held, 0)]


def _check_integrity(documents: Documents) -> list[TargetResult]:
    results = []
    for name in ("doubled", "damaged", "lost"):
        total = sum(_own_metrics(documents, label)[name] for label in documents)
        results.append(_at_most(f"all scenarios: {name}", total, 0))
    return results


def _target_table(results: list[TargetResult]) -> list[str]:
    lines = ["## Targets", "", "| target | measured | |", "|---|---|---|"]
    for item in results:
        state = "met" if item.met else "**not met**"
        lines.append(f"| {item.target} | {item.measured} | {state} |")
    return lines


def _metrics_table(documents: Documents) -> list[str]:
    lines = [
        "## Figures",
        "",
        "TTFT as p50/p95/p99 in ms; goodput in requests a second.",
        "",
        "| " + " | ".join(COLUMNS) + " |",
        "|" + "---|" * len(COLUMNS),
    ]
    for label, document in documents.items():
        for policy, metrics in document["policies"].items():
            lines.append(_metrics_row(label, policy, metrics))
        for policy, metrics in document.get("without_stragglers", {}).items():
            lines.append(_metrics_row(f"{label}, none slow", policy, metrics))
    return lines


def _metrics_row(label: str, policy: str, metrics: dict[str, Any]) -> str:
    refused = ", ".join(f"{c}: {n}" for c, n in metrics["refused_by_code"].items())
    cells = [
        label,
        policy,
        f"{metrics['goodput_per_s']:.2f}",
        f"{metrics['goodput_of_limit']:.3f}",
        *(str(metrics["goodput_per_s_by_class"].get(name, 0)) for name in CLASSES),
        f"{metrics['prefill_wasted']:.3f}",
        *(_percentiles_text(metrics["ttft_ms"].get(name)) for name in CLASSES),
        refused or "none",
        *(str(metrics[name]) for name in ("retries", "doubled", "damaged", "lost")),
        str(metrics["held_after_1s"]),
    ]
    return "| " + " | ".join(cells) + " |"


def _percentiles_text(values: dict[str, float] | None) -> str:
    if values is None:
        return "-"
    return "/".join(f"{values[name]:.0f}" for name in ("p50", "p95", "p99"))


def _plot_goodput(documents: Documents, path: Path) -> None:
    figure, axes = plt.subplots(figsize=(9, 4), layout="constrained")
    width = 0.8 / len(POLICIES)
    for offset, policy in enumerate(POLICIES):
        points = [
            (index + offset * width, document["policies"][policy]["goodput_of_limit"])
            for index, document in enumerate(documents.values())
            if policy in document["policies"]
        ]
        axes.bar([x for x, _ in points], [y for _, y in points], width, label=policy)
    axes.set_xticks([index + 0.3 for index in range(len(documents))], list(documents))
    axes.set_ylabel("goodput / limit")
    axes.set_ylim(0, 1.1)
    figure.legend(ncols=4, loc="outside upper center", fontsize="small")
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _plot_latency(documents: Documents, path: Path) -> None:
    figure, axes = plt.subplots(figsize=(9, 4), layout="constrained")
    for policy in POLICIES:
        points = [
            (index, document["policies"][policy]["ttft_ms"][INTERACTIVE_CLASS]["p99"])
            for index, document in enumerate(documents.values())
            if INTERACTIVE_CLASS
            in document["policies"].get(policy, {}).get("ttft_ms", {})
        ]
        axes.plot([x for x, _ in points], [y for _, y in points], "o", label=policy)
    target_ms = HAGESTAD.find_work(INTERACTIVE_CLASS).ttft_target_ms
    axes.axhline(target_ms, color="grey", linestyle="--", label="target")
    axes.set_xticks(range(len(documents)), list(documents))
    axes.set_ylabel(f"{INTERACTIVE_CLASS} p99 TTFT, ms")
    axes.set_yscale("log")
    figure.legend(ncols=5, loc="outside upper center", fontsize="small")
    figure.savefig(path, dpi=110)
    plt.close(figure)

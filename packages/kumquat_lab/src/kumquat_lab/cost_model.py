"""Cost model of the emulated engines.

Decode uses continuous batching: a step yields one token for each request
of the batch and takes ``step_base_ms + step_request_ms * requests``. A
prefill engine runs one prefill at a time; it takes ``prefill_overhead_ms``
plus the uncached tokens at ``prefill_tokens_per_s``. With the defaults a
prefill of 10,000 tokens takes 500 ms, as long as 17 steps of a full batch or
39 steps of one request. A KV cache of ``kv_bytes_per_token`` bytes a token
moves at ``link_bytes_per_s``, shared by all transfers of an engine. A
straggler takes ``slowdown`` times as long for steps and prefills.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EngineConfig", "EngineHostConfig", "StragglerConfig"]

Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]


class StragglerConfig(BaseModel):
    """Seeded slow periods of ``window_s``, one per ``period_s`` on average."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    slowdown: Positive = 10.0
    window_s: Positive = 2.0
    period_s: Positive = 12.0
    seed: int = 0


class EngineConfig(BaseModel):
    """Sizes, rates and behaviour of one emulated engine."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    engine_id: str
    port: int
    role: Literal["prefill", "decode"]
    models: tuple[str, ...]
    total_pieces: int = 40
    piece_tokens: int = 1024
    max_requests: int = 20
    step_base_ms: NotNegative = 12.0
    step_request_ms: NotNegative = 0.9
    prefill_overhead_ms: NotNegative = 5.0
    prefill_tokens_per_s: Positive = 20000.0
    kv_bytes_per_token: Positive = 160_000.0
    link_bytes_per_s: Positive = 5e9
    evict_after_s: Positive = 1.0
    cache_blocks: int = 512
    event_delay_s: NotNegative = 0.5
    event_loss: Annotated[float, Field(ge=0, le=1)] = 0.02
    report_lag_s: NotNegative = 1.0
    checks_fencing: bool = True
    weight_store_url: str = ""
    straggler: StragglerConfig | None = None

    def step_s(self, requests: int) -> float:
        """Return the nominal time of one decode step, in seconds."""
        return (self.step_base_ms + self.step_request_ms * requests) / 1000

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return the nominal time of one prefill, in seconds."""
        compute_s = uncached_tokens / self.prefill_tokens_per_s
        return self.prefill_overhead_ms / 1000 + compute_s

    def transfer_s(self, tokens: int) -> float:
        """Return the time of one transfer over an idle link, in seconds."""
        return tokens * self.kv_bytes_per_token / self.link_bytes_per_s


class EngineHostConfig(BaseModel):
    """The engines that one process emulates, each on its own port."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    engines: tuple[EngineConfig, ...]
    seed: int = 0

"""Engine records with typical values, for in-process tests and benchmarks."""

from dataclasses import replace

from kumquat_core.configuration import Engine, EngineRole, ServerState

__all__ = ["make_engine"]


def make_engine(engine_id: str, **changes: object) -> Engine:
    """Return an engine; an id that begins with p makes a prefill engine."""
    role = EngineRole.PREFILL if engine_id.startswith("p") else EngineRole.DECODE
    engine = Engine(
        id=engine_id,
        url=f"http://{engine_id}",
        pool="pool",
        failure_domain="fd",
        role=role,
        models=("advice",),
        state=ServerState.LIVE,
        total_pieces=40,
        piece_tokens=1000,
        max_requests=20,
        prefill_tokens_per_s=10000.0,
        link_bytes_per_s=1e9,
        step_base_ms=10.0,
        step_request_ms=1.0,
        checks_fencing=True,
    )
    return replace(engine, **changes)  # type: ignore[arg-type]

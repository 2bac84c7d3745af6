"""Guards against events whose work grows with all engines and runs."""

from kumquat_lab.relay_decision_cost import measure_relay_decisions
from kumquat_relay.engine_load import EngineLoad

from .builders import QueueWorld, run_request


def test_the_measurement_keeps_a_queue_of_the_asked_length() -> None:
    cost = measure_relay_decisions(10, 100)
    assert 50 <= cost.waiting <= 100 + 200


def test_requests_that_do_not_fit_are_not_compared_with_all_engines() -> None:
    """Each waiting request was compared with each engine at each event."""
    world = QueueWorld(decoders=20, readers=1)
    for index in range(20):
        world.queue.ledger.engine_full(f"d{index}", world.now_s)
    compared = []
    fits = EngineLoad.fits

    def count(load: EngineLoad, *arguments: float) -> bool:
        compared.append(load.entry.id)
        return fits(load, *arguments)

    for index in range(50):
        request = run_request(f"w{index}", objective_ms=60_000)
        world.queue._waiting_by_id[request.request_id] = world.queue._waiting(
            request, "h", world.now_s, 5500
        )
    EngineLoad.fits = count
    try:
        world.queue.advance(world.now_s)
    finally:
        EngineLoad.fits = fits
    assert len(compared) == 20


def test_a_report_looks_at_the_runs_of_its_host_only() -> None:
    """Each report was compared with all runs of the service."""
    world = QueueWorld(decoders=4)
    for index in range(12):
        request = run_request(f"r{index}", objective_ms=60_000)
        world.add(request, f"host{index % 3}")
        world.read(request.request_id)
    ledger = world.queue.ledger
    assert ledger._requests_by_host["host1"] == {"r1", "r4", "r7", "r10"}
    world.clock.advance(2.0)
    assert ledger.confirm("host1", [], world.now_s) == 4
    assert "host1" not in ledger._requests_by_host
    assert ledger.drop_unconfirmed(world.now_s) == 8
    assert ledger._requests_by_host == {}

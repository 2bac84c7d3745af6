"""Tests of ticket synchronisation.

They guard against a host that has no configuration, or an old one, although
another host has a newer one.
"""

import logging
import random

from kumquat_core.peer_messages import TicketBatch
from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_core.table_client import Write
from kumquat_core.ticket_log import LOG_TABLE, TicketLog, ticket_key
from kumquat_core.ticket_models import ObjectModel, TicketModel
from kumquat_core.tickets import TicketStore
from kumquat_lab.memory_fakes import MemoryObjectStore, MemoryTable
from kumquat_lab.virtual_time import run_in_virtual_time
from kumquatrouter.ticket_sync import TicketSync


class Region:
    """Entry hosts on one table service, connected by direct calls."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.syncs_by_id = {}
        self.stores_by_id = {}

    def add(self, host_id):
        rng = random.Random(host_id)
        self.stores_by_id[host_id] = TicketStore()
        self.syncs_by_id[host_id] = TicketSync(
            host_id,
            self.stores_by_id[host_id],
            TicketLog(self.table, self.objects, rng),
            self.call_peer,
            lambda: sorted(self.syncs_by_id),
            rng,
        )
        return self.syncs_by_id[host_id]

    async def call_peer(self, host_id, message, timeout_s):
        if host_id not in self.syncs_by_id:
            raise RouterError(ResultCode.PEER_CLOSED)
        reply = self.syncs_by_id[host_id].answer_fetch(message)
        assert isinstance(reply, TicketBatch)
        return reply

    async def accept(self, number):
        item = ObjectModel(kind="model", name="advice", state={"version": f"v{number}"})
        model = TicketModel(number=number, author="op", objects=(item,))
        log = TicketLog(self.table, self.objects, random.Random(0))
        return await log.accept(model, TicketStore())

    def start_outage(self):
        self.table.available = False
        self.objects.available = False

    def positions(self):
        return [store.position for store in self.stores_by_id.values()]


def test_new_host_fetches_the_state_of_a_peer_in_an_outage():
    async def main(clock):
        region = Region()
        old = region.add("old")
        for number in (2, 1):
            await region.accept(number)
        await old.start()
        region.start_outage()
        await region.add("new").start()
        return region

    region = run_in_virtual_time(main)
    assert region.positions() == [2, 2]
    configuration = region.stores_by_id["new"].configuration
    assert configuration.models_by_name["advice"].version == "v2"


def test_host_without_store_and_peers_has_no_configuration():
    async def main(clock):
        region = Region()
        region.start_outage()
        await region.add("new").start()
        return region.positions()

    assert run_in_virtual_time(main) == [0]


def test_ticket_read_by_one_host_spreads_by_pings_in_an_outage():
    async def main(clock):
        region = Region()
        hosts = [region.add(name) for name in "abc"]
        await region.accept(1)
        await hosts[0].poll()
        region.start_outage()
        await hosts[1].on_peer_position("a", 1)
        await hosts[2].on_peer_position("b", 1)
        return region.positions()

    assert run_in_virtual_time(main) == [1, 1, 1]


def test_one_host_writes_the_snapshot_and_a_new_host_reads_it():
    async def main(clock):
        region = Region()
        hosts = [region.add(name) for name in "abc"]
        for number in (1, 2, 3):
            await region.accept(number)
        written_by = []
        for name, host in zip("abc", hosts, strict=True):
            await host.poll()
            before = dict(region.objects.contents_by_name)
            await host.write_snapshot()
            if region.objects.contents_by_name != before:
                written_by.append(name)
        for position in (1, 2, 3):
            region.table.delete("ticket_log", f"{position:012d}")
        await region.add("new").start()
        return written_by, region.positions()

    written_by, positions = run_in_virtual_time(main)
    assert len(written_by) == 1
    assert positions == [3, 3, 3, 3]


def test_hosts_stay_before_an_odd_ticket_and_log_it_once(caplog):
    """Merged tickets behind one that a later build wrote would differ from
    those that hosts of that build have; each poll logged the odd one."""

    async def main(clock):
        region = Region()
        sync = region.add("a")
        await region.accept(1)
        await sync.start()
        await region.accept(2)
        await region.accept(3)
        row = region.table.row(LOG_TABLE, ticket_key(2))
        odd = row.value | {"ticket": {"number": "many"}}
        region.table.apply([Write(LOG_TABLE, row.key, None, odd)])
        for _ in range(4):
            await sync.poll()
        assert region.positions() == [1]
        region.table.apply([Write(LOG_TABLE, row.key, None, row.value)])
        await sync.poll()
        return region.positions()

    caplog.set_level(logging.WARNING)
    assert run_in_virtual_time(main) == [3]
    logged = [item for item in caplog.records if item.msg == "ticket_poll_failed"]
    assert len(logged) == 1

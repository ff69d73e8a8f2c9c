"""Three workers crash within 0.2 s under items that share a part of their prompts."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin
from standin import FINISH_S, Fleet, Job, LIMITS, batch_route, service

HOST, PREFIX = "ficu95.example", "/pule252/"
SHARED = "5c1e07a2:300,"  # the part that the prompts of all items begin with


class Play:
    @staticmethod
    def fleet(folder):
        return Fleet(folder, ["hall-1", "hall-2", "hall-1"])

    @staticmethod
    async def play(fleet, trouble):
        record = fleet.record
        nodes = range(len(fleet.zones))
        await fleet.start_store({"version": 1, "routes": [batch_route("r-batch", HOST, PREFIX, "pool")],
                                 "services": [service("pool")], "limits": LIMITS})
        workers = [await fleet.add_worker("pool", zone, gap_s=0.025, events=160)  # an item takes 4 s
                   for zone in ("hall-1", "hall-2") * 5]
        for node in nodes:
            fleet.start_node(node)
        for node in nodes:
            await fleet.wait_ready(node)
        await asyncio.sleep(4.0)
        job = Job(fleet, HOST, PREFIX, 10, shared_part=SHARED)
        if await job.submit(0) != 202:
            raise standin.CannotRun("the batch job was not accepted")
        await asyncio.sleep(2.0)
        if trouble:
            busy = [worker for worker in workers if worker.running]
            if len(busy) < 4:
                raise standin.CannotRun("the items run at fewer than four workers")
            for worker in busy[:3]:  # one after the other, and for good
                asyncio.ensure_future(worker.crash_for_good())
                await asyncio.sleep(0.1)
        calm = record.now() + 6.0
        await job.follow(calm)
        record("calm: no disruption within the last 5 s")
        later = Job(fleet, HOST, PREFIX, 4, shared_part=SHARED)
        if await later.submit(1) != 202:
            raise standin.CannotRun("the later batch job was not accepted")
        end = record.now() + FINISH_S
        await asyncio.gather(job.follow(end), later.follow(end))
        now = record.now()
        record("finish_s is over")
        for each in (job, later):
            crashes = [sum(run["how"] == "lost with its worker" for worker in workers for run in worker.runs
                           if run["id"] == item) for item in each.items]
            summary = "batch job %s: %d of %d items are listed; %d items lost a worker, none more than %d" % (
                each.id, len(each.results), len(each.items), sum(count > 0 for count in crashes), max(crashes))
            record(summary)
            standin.say(summary)
        await asyncio.sleep(2.0)
        breaches, most, slots = standin.lost_items([job, later], workers, now)
        record("in the last 5 s at most %d of %d slots were taken" % (most, slots))
        return breaches


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), Play)

"""The only workers of one service are lost for good; batch jobs of another service wait behind its jobs."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin
from standin import FINISH_S, Fleet, Job, LIMITS, batch_route, service

HOST, LOST, SOUND = "ficu95.example", "/pule252/", "/lohu930/"


class Play:
    @staticmethod
    def fleet(folder):
        return Fleet(folder, ["hall-1", "hall-2", "hall-1"])

    @staticmethod
    async def play(fleet, trouble):
        record = fleet.record
        nodes = range(len(fleet.zones))
        await fleet.start_store({"version": 1, "limits": LIMITS, "services": [service("small"), service("pool")],
                                 "routes": [batch_route("r-small", HOST, LOST, "small"),
                                            batch_route("r-pool", HOST, SOUND, "pool")]})
        small = await fleet.add_worker("small", "hall-1", gap_s=0.01, events=60)
        pool = [await fleet.add_worker("pool", zone, gap_s=0.01, events=60) for zone in ("hall-1", "hall-2")]
        for node in nodes:
            fleet.start_node(node)
        for node in nodes:
            await fleet.wait_ready(node)
        await asyncio.sleep(2.0)
        if trouble:
            await small.crash_for_good()
        await asyncio.sleep(5.0)
        record("calm: no disruption within the last 5 s")
        jobs, follows = [], []

        async def submit(prefix):
            job = Job(fleet, HOST, prefix, 4)
            if await job.submit(0) != 202:
                raise standin.CannotRun("a batch job was not accepted")
            jobs.append(job)
            follows.append(asyncio.ensure_future(job.follow(record.now() + 60.0)))

        for number in range(24):  # traffic of 24 s, all of clients that reach one node
            await submit(LOST)
            if number % 4 == 1:
                await submit(SOUND)
            await asyncio.sleep(1.0)
        record("traffic has ended")
        await asyncio.sleep(FINISH_S)
        now = record.now()
        record("finish_s is over")
        for follow in follows:
            follow.cancel()
        sound = [job for job in jobs if job.prefix == SOUND]
        summary = "%d of %d items of the sound service are listed" % (
            sum(len(job.results) for job in sound), sum(len(job.items) for job in sound))
        record(summary)
        standin.say(summary)
        # The jobs of the lost service are excused: no worker of theirs is left.
        await asyncio.sleep(2.0)
        breaches, most, slots = standin.lost_items(sound, pool, now)
        record("in the last 5 s at most %d of %d slots of the sound service were taken" % (most, slots))
        return breaches


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), Play)

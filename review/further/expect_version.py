"""A caller names a version of the weights (Chalkshed-Expect-Version) that no worker carries. Each worker answers
421, as PROTOCOL.md says, and the node takes it for replaced, for good."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin
from standin import FINISH_S, Fleet, Job, LIMITS, Worker, batch_route, call, plain_answer, service

HOST, PREFIX, BATCH = "ficu95.example", "/lohu930/", "/pule252/"


class VersionedWorker(Worker):
    async def answer(self, reader, writer, method, target, headers, body):
        if headers.get("chalkshed-expect-version", "1") != "1":
            self.record("worker %s: %s expects another version and gets 421" %
                        (self.id, headers.get("chalkshed-request-id", "")))
            writer.write(plain_answer(421, [("Chalkshed-Request-Id", headers.get("chalkshed-request-id", "")),
                                            ("Connection", "close")], b""))
            return False
        return await super().answer(reader, writer, method, target, headers, body)


class Play:
    @staticmethod
    def fleet(folder):
        standin.Worker = VersionedWorker
        return Fleet(folder, ["hall-1", "hall-2"])

    @staticmethod
    async def play(fleet, trouble):
        record = fleet.record
        route = {"name": "r-plain", "host": HOST, "path_prefix": PREFIX, "kind": "idempotent", "timeout_ms": 4000,
                 "target_ms": 300, "priority": 0, "service": "pool", "attempts": 2}
        await fleet.start_store({"version": 1, "limits": LIMITS, "services": [service("pool")],
                                 "routes": [route, batch_route("r-batch", HOST, BATCH, "pool")]})
        for number in range(6):
            await fleet.add_worker("pool", "hall-1", gap_s=0.02)
        for node in (0, 1):
            fleet.start_node(node)
        for node in (0, 1):
            await fleet.wait_ready(node)
        await asyncio.sleep(3.0)

        async def request(headers=()):
            name = "%016x" % random.getrandbits(64)
            status, _, _ = await call(fleet.front(0), "POST", PREFIX + "2f/plain",
                                      [("Host", HOST), ("Chalkshed-Request-Id", name),
                                       ("Chalkshed-Deadline-Ms", "3000")] + list(headers), b"x")
            record("client: request %s %s is answered %d" % (name, list(headers), status))
            return status

        for _ in range(3 if trouble else 0):
            await request([("Chalkshed-Expect-Version", "2")])
        await asyncio.sleep(10.0)
        statuses = [await request() for _ in range(20)]
        job = Job(fleet, HOST, BATCH, 4)
        if await job.submit(0) != 202:
            raise standin.CannotRun("the batch job was not accepted")
        end = record.now() + FINISH_S
        await job.follow(end)
        now = record.now()
        summary = "10 s later %d of 20 requests are served, and %d of 4 items are listed when finish_s is over" % (
            statuses.count(200), len(job.results))
        record(summary)
        standin.say(summary)
        await asyncio.sleep(2.0)
        return standin.lost_items([job], fleet.workers, now)[0]


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), Play)

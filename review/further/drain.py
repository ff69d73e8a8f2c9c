"""All workers of a service leave without saying so, while the store is stable: their entries go."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin
from standin import DRAIN_MS, Fleet, LIMITS, call, service

HOST, PREFIX = "ficu95.example", "/lohu930/"


class Play:
    @staticmethod
    def fleet(folder):
        return Fleet(folder, ["hall-1", "hall-2", "hall-1"])

    @staticmethod
    async def play(fleet, trouble):
        record = fleet.record
        nodes = range(len(fleet.zones))
        route = {"name": "r-plain", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
                 "timeout_ms": 4000, "target_ms": 300, "priority": 0, "service": "app", "attempts": 1}
        app = service("app")
        app.pop("engine")
        await fleet.start_store({"version": 1, "limits": LIMITS, "services": [app], "routes": [route]})
        workers = [await fleet.add_worker("app", zone, plain_s=0.3) for zone in ("hall-1", "hall-2")]
        for node in nodes:
            fleet.start_node(node)
        for node in nodes:
            await fleet.wait_ready(node)
        await asyncio.sleep(4.0)
        answers = {}

        async def client(stop):
            while record.now() < stop:
                request = "%016x" % random.getrandbits(64)
                node = random.choice(list(nodes))
                record("client: request %s to front-%d" % (request, node + 1))
                status, headers, _ = await call(
                    fleet.front(node), "POST", PREFIX + "2f/plain",
                    [("Host", HOST), ("Chalkshed-Request-Id", request), ("Chalkshed-Deadline-Ms", "4000")],
                    b"x" * 200, timeout=5.0)
                answers[request] = status
                record("client: request %s is answered %d, signature %s" %
                       (request, status, headers.get("chalkshed-server-signature", "none")))
                await asyncio.sleep(0.1)

        clients = [asyncio.ensure_future(client(record.now() + 16.0)) for _ in range(6)]
        await asyncio.sleep(4.0)
        gone = {}
        if trouble:
            # They serve on for drain_ms and 5 s more ("at times many seconds"), then end.
            for worker in workers:
                gone[worker.id] = await worker.leave_silently(DRAIN_MS / 1000.0 + 5.0)
        await asyncio.gather(*clients)
        late = [run for worker in workers for run in worker.runs
                if worker.id in gone and run["begun"] > gone[worker.id] + DRAIN_MS / 1000.0]
        lost = [run for run in late if run["how"] != "whole"]
        summary = "%d requests were answered 200 of %d; %d ran at a worker later than drain_ms after its entry had " \
                  "gone; %d of these were lost with the worker" % (
                      sum(status == 200 for status in answers.values()), len(answers), len(late), len(lost))
        record(summary)
        standin.say(summary)
        return ["DRAIN request %s reached worker %s %.2f s after its entry had gone (client: %s)" %
                (run["id"], run["worker"], run["begun"] - gone[run["worker"]], answers.get(run["id"]))
                for run in late]


if __name__ == "__main__":
    standin.main(os.path.dirname(os.path.abspath(__file__)), Play)

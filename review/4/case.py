"""Five crashes of workers in a row under the same accepted item: is it listed once the workers are well again?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_2 as s

WORKERS = 18  # of a pool of the site; at most three are down at a time: a share of .167, the pages allow .17
CRASHES = int(os.environ.get("CRASHES", "5"))
DOWN_S = 4.5
FINISH_S = 18


async def main(record, scratch, trouble):
    ips = ["127.77.0.1", "127.77.0.2", "127.77.0.9"]
    port = s.free_ports(ips, 12)
    store = s.Store(record)
    await store.start(ips[2], port)
    workers = [s.Worker(store, record, "pool", ips[2], port + 1 + n, events=60) for n in range(WORKERS)]
    await store.put("op", "config", s.configuration(7, [s.BATCH], [s.POOL]))
    for worker in workers:
        await worker.start()
    nodes = [s.Node(record, scratch, f"front-{n + 1}", ips[n], port, "z1", store.address) for n in range(2)]
    crashes = []

    def on_run(worker, request, last):
        # The worker crashes while it reads the prompt.
        if trouble and len(crashes) < CRASHES and worker.alive:
            crashes.append(s.now())
            asyncio.get_running_loop().call_later(
                0.05, lambda: asyncio.ensure_future(worker.crash(DOWN_S)))

    for worker in workers:
        worker.on_run = on_run
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.until_ready()
        await asyncio.sleep(4)
        item = "e5b2907c14da6f38"
        body = s.job_body([(item, "9c2e41:300,5d07b8:240", b"a prompt" * 50)])
        status, _, _ = await s.call(ips[0], port, "POST", "/batch/7c41e0", {"Chalkshed-Request-Id": "7c41e09b52d6a3f8"}, body)
        record.write("job sent", answered=status)
        if status != 202:
            return 2
        sent = s.now()
        listed = None
        while s.now() - sent < 90:
            await asyncio.sleep(0.5)
            try:
                status, _, text = await s.call(ips[int(s.now()) % 2], port, "GET", "/lots/7c41e09b52d6a3f8?since_rev=0", {})
            except (OSError, EOFError, asyncio.TimeoutError):
                continue
            results = s.json.loads(text)["results"] if status == 200 else []
            if results:
                listed = results[0]
                record.write("listed", state=listed["state"], bytes=len(listed["message"]))
                break
            done = len(crashes) >= CRASHES
            # The last run that failed is over 20 s ago, and finish_s has passed since.
            if done and s.now() - crashes[-1] > 20 + FINISH_S:
                break
        record.write("end", crashes=[round(c - sent, 2) for c in crashes], listed=bool(listed), after=round(s.now() - sent, 2),
                     running=sum(len(w.running) for w in workers))
        print("crashes at", [round(c - sent, 2) for c in crashes], "listed", listed and listed["state"], "after", round(s.now() - sent, 2))
        if listed:
            return 0 if listed["state"] == "completed" else 1
        idle = not any(worker.running for worker in workers) and all(worker.alive for worker in workers)
        return 1 if trouble and len(crashes) == CRASHES and idle else 2
    finally:
        for node in nodes:
            await node.end()


# TROUBLE=0: the same without the disruption.
s.run(main, os.path.dirname(os.path.abspath(__file__)), trouble=os.environ.get("TROUBLE", "1") != "0")

"""No case: what happens if an answer of the store to a change names the newest version of the store as the answer is
sent (PROTOCOL.md: "every answer about rows names `ver`, the newest one"), not that of the change? Batch jobs are accepted
while such a store is slow; the items should be listed once it is well again. See REPORT-2.md."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_2 as s

SLOW_X = 60  # the site's platform_slow
SLOW_S = 4.5
JOBS = 6
ITEMS = 2
FINISH_S = 18
CALM_S = 5


class NewestVersionStore(s.Store):
    """Half of the time that an answer takes lies behind the change; the answer names the newest version as it is sent."""

    async def answer(self, method, path, query, body):
        await asyncio.sleep(self.answer_s / 2 * self.slow)
        if path != "/rows-tx":
            return await super().answer(method, path, query, body)
        status, text = await self.transact(body)
        await asyncio.sleep(self.answer_s / 2 * self.slow)
        fields = json.loads(text)
        fields.pop("ver"), fields.pop("now_ms")
        return status, self.stamp(fields)


async def main(record, scratch, trouble):
    ips = ["127.77.6.1", "127.77.6.2", "127.77.6.3", "127.77.6.9"]
    port = s.free_ports(ips, 28)
    store = NewestVersionStore(record)
    await store.start(ips[3], port)
    workers = [s.Worker(store, record, "pool", ips[3], port + 1 + n) for n in range(18)]
    await store.put("op", "config", s.configuration(7, [s.BATCH], [s.POOL]))
    for worker in workers:
        await worker.start()
        await asyncio.sleep(1.2 / len(workers))  # their heartbeats don't come together
    nodes = [s.Node(record, scratch, f"front-{n + 1}", ips[n], port, "z1", store.address) for n in range(3)]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            await node.until_ready()
        await asyncio.sleep(5)
        if trouble:
            store.slow = SLOW_X
            asyncio.get_running_loop().call_later(SLOW_S, lambda: setattr(store, "slow", 1))
            record.write("store: its answers take longer", times=SLOW_X, for_s=SLOW_S)
        begun = s.now()
        jobs = {}

        async def send(number):
            job = "%016x" % (0x7C41E09B52D6A300 + number)
            items = [(f"{job}-{n}", f"{number + 1:x}:300,{(number + 1) * 100 + n:x}:240", b"a prompt" * 50) for n in range(ITEMS)]
            await asyncio.sleep(0.4 * number)
            for attempt in range(4):
                node = nodes[(number + attempt) % 3]
                try:
                    status, _, _ = await s.call(node.ip, port, "POST", "/batch/7c41e0", {"Chalkshed-Request-Id": job}, s.job_body(items), timeout=6)
                except (OSError, EOFError, asyncio.TimeoutError) as problem:
                    status = repr(problem)
                record.write("job sent", job=job, node=node.name, answered=status)
                if status == 202:
                    jobs[job] = [item[0] for item in items]
                    return
                await asyncio.sleep(0.5)

        await asyncio.gather(*(send(number) for number in range(JOBS)))
        if len(jobs) < JOBS:
            return 2
        traffic_ended = max(s.now(), begun + SLOW_S)
        await asyncio.sleep(traffic_ended + FINISH_S - s.now())
        begins = sum(1 for _ in open(record.file.name) if '"run begins"' in _)
        await asyncio.sleep(CALM_S)
        unlisted = []
        for job, items in jobs.items():
            for node in nodes:
                status, _, text = await s.call(node.ip, port, "GET", f"/lots/{job}?since_rev=0", {})
                listed = [result["id"] for result in json.loads(text)["results"]] if status == 200 else []
                record.write("read", job=job, node=node.name, status=status, listed=listed)
            unlisted += [item for item in items if item not in listed]
        running = {item for worker in workers for item in worker.running.values()}
        left = [item for item in unlisted if item not in running]
        record.write("end", accepted=JOBS * ITEMS, unlisted=unlisted, at_workers=sorted(running), begins_until_calm=begins)
        print(f"{len(unlisted)} of {JOBS * ITEMS} accepted items aren't listed {FINISH_S + CALM_S} s after the last one was sent;"
              f" {len(unlisted) - len(left)} of these are at a worker")
        return 1 if left else 0
    finally:
        for node in nodes:
            await node.end()


import tempfile

s.run(main, tempfile.mkdtemp(prefix="chalkshed-newest-version-"), trouble=os.environ.get("TROUBLE", "1") != "0")

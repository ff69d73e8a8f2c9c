"""An item that can never be done (422 at each run), while part of the store is down and its owner is killed, three
times: does it reach a worker again after three answers of 422?"""

import asyncio
import base64
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin_2 as s

JOB = "7c41e09b52d6a3f8"
ITEM = "e5b2907c14da6f38"
CYCLES = 3
WORK_S = 1.6  # from the arrival of the item to the 422
DOWN_S = 4.5  # the job's part of the store says nothing, as long as the site's platform_down
KILL_AFTER_S = 1.1  # from the end of that to the kill of the owner
AWAY_S = 3.5  # the killed process starts again
CONTACT_S = 3.0
ALLOWED = 3  # answers of 422


class Refusing(s.Worker):
    async def answer(self, message, writer):
        method, target, _ = message[0].split(" ")
        request = message[1].get("chalkshed-request-id", "")
        if method == "GET" or message[1].get("chalkshed-expect-instance") != self.id:
            return await super().answer(message, writer)
        self.record.write("run begins", worker=self.id, request=request)
        self.on_run(self, request)
        await asyncio.sleep(WORK_S)
        writer.write(s.response(422, {"Chalkshed-Request-Id": request, "Chalkshed-Server-Signature": "sig." + request,
                                      "Chalkshed-Server-Load": f"1,0,{self.slots}"}, "can't be done"))
        await writer.drain()
        self.record.write("answered 422", worker=self.id, request=request)
        self.on_answer()
        return True


async def main(record, scratch, trouble):
    ips = ["127.77.5.1", "127.77.5.2", "127.77.5.3", "127.77.5.9"]
    port = s.free_ports(ips, 16)
    store = s.Store(record)
    await store.start(ips[3], port)
    workers = [Refusing(store, record, "pool", ips[3], port + 1 + n) for n in range(6)]
    await store.put("op", "config", s.configuration(7, [s.BATCH], [s.POOL]))
    for worker in workers:
        await worker.start()
    nodes = {f"front-{n + 1}": s.Node(record, scratch, f"front-{n + 1}", ips[n], port, "z1", store.address)
             for n in range(3)}
    runs, answers, disturbed = [], [], {}
    state = {"silent_until": 0.0, "down_until": 0.0, "cycles": 0, "broken": False}

    def row():
        """The record of the job: the part that it lies in, and the machine that wrote it last."""
        for (table, part, key), (value, _) in store.rows.items():
            if key == JOB and part:
                fields = json.loads(base64.b64decode(value))
                if "owner" in fields:
                    return part, fields["owner"].split("#")[0]
        return "", ""

    def fault(ip, method, path, body):
        part = row()[0]
        silent = s.now() < state["silent_until"] and part
        return "silent" if silent and (f'"{part}"' in body.decode("latin-1") or f"part={part}&" in path) else None

    store.fault = fault

    async def cycle(owner):
        await asyncio.sleep(0.1)
        state["silent_until"] = s.now() + DOWN_S
        record.write("store: the part of the job falls silent", part=row()[0])
        await asyncio.sleep(DOWN_S)
        state["down_until"] = s.now()
        record.write("store: it answers again")
        await asyncio.sleep(KILL_AFTER_S)
        node = nodes[owner]
        disturbed[owner] = s.now()
        node.send_signal(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(AWAY_S)
        await node.start()
        disturbed[owner] = s.now()

    def on_run(worker, request):
        owner = row()[1]
        at = s.now()
        calm = at - state["down_until"] > CONTACT_S and at > state["silent_until"]
        in_touch = calm and at - disturbed.get(owner, -9.0) > CONTACT_S
        runs.append(at)
        record.write("sent by", node=owner, in_touch=in_touch, answers_of_422=len(answers))
        if len(answers) >= ALLOWED and in_touch:
            state["broken"] = True
        if trouble and state["cycles"] < CYCLES:
            state["cycles"] += 1
            asyncio.ensure_future(cycle(owner))

    for worker in workers:
        worker.on_run, worker.on_answer = on_run, lambda: answers.append(s.now())
    try:
        for node in nodes.values():
            await node.start()
        for node in nodes.values():
            await node.until_ready()
        await asyncio.sleep(4)
        body = s.job_body([(ITEM, "9c2e41:300,5d07b8:240", b"a prompt" * 50)])
        status, _, _ = await s.call(ips[0], port, "POST", "/batch/7c41e0", {"Chalkshed-Request-Id": JOB}, body)
        record.write("job sent", answered=status)
        if status != 202:
            return 2
        sent = s.now()
        state_of_item = None
        while s.now() - sent < 60 and state_of_item is None:
            await asyncio.sleep(0.5)
            for ip in ips[:3]:
                try:
                    status, _, text = await s.call(ip, port, "GET", f"/lots/{JOB}?since_rev=0", {}, timeout=2)
                except (OSError, EOFError, asyncio.TimeoutError):
                    continue
                if status == 200 and json.loads(text)["results"]:
                    state_of_item = json.loads(text)["results"][0]["state"]
                break
        record.write("end", runs=[round(at - sent, 2) for at in runs], answers=len(answers), listed=state_of_item)
        print("runs at", [round(at - sent, 2) for at in runs], "answers of 422:", len(answers), "listed:", state_of_item)
        if state["broken"]:
            return 1
        return 0 if state_of_item == "errored" else 2
    finally:
        for node in nodes.values():
            await node.end()


# TROUBLE=0: the same without the disruption.
s.run(main, os.path.dirname(os.path.abspath(__file__)), trouble=os.environ.get("TROUBLE", "1") != "0")

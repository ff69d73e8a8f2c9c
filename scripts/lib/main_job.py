"""The main job: batches of plain text beside streamed online requests through three nodes, one of
which is killed midway together with two workers, and another stopped as planned later. Every item
must end exactly once."""

import argparse
import collections
import concurrent.futures
import http.client
import json
import sys
import threading
import time

import cluster as clusters
import plain_text

EXAMPLE = "seat-desk"
KILLED_NODE = "node-2"
STOPPED_NODE = "node-3"
KILLED_WORKERS = 2
SEED = 7
ONLINE_ANSWER_TOKENS = 40
BATCH_ANSWER_TOKENS = 120
RESEND_SECONDS = 0.2
JOB_TIMEOUT_SECONDS = 240


class BrokenStream(Exception):
    """A stream that ended without its end mark, or with an error event."""


def chat_body(model, prompt, stream, max_tokens):
    return {"model": model, "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}]}


class Nodes:
    """Addresses of the nodes that callers use; a killed one is taken out."""

    def __init__(self, cluster):
        self._addresses = dict(cluster.addresses)
        self._lock = threading.Lock()
        self._next = 0

    def take(self):
        with self._lock:
            addresses = list(self._addresses.values())
            self._next += 1
            return addresses[self._next % len(addresses)]

    def remove(self, name):
        with self._lock:
            del self._addresses[name]


def read_stream(address, body, headers):
    """Returns the text of a streamed answer and the seconds until its first piece."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    began = time.monotonic()
    first = None
    pieces = []
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        answer = connection.getresponse()
        if answer.status != 200:
            raise clusters.HttpError(answer.status, answer.read())
        for line in answer:
            if not line.startswith(b"data: "):
                continue
            data = line[len(b"data: "):].strip()
            if data == b"[DONE]":
                return "".join(pieces), first
            event = json.loads(data)
            if "error" in event:
                raise BrokenStream(event["error"].get("message"))
            text = event["choices"][0]["delta"].get("content", "")
            if text and first is None:
                first = time.monotonic() - began
            pieces.append(text)
    except http.client.HTTPException as error:
        raise BrokenStream(repr(error)) from error
    finally:
        connection.close()
    raise BrokenStream("the stream ended without its end mark")


class OnlineLoad:
    """Callers that ask one streamed question after another and resend what broke."""

    def __init__(self, cluster, nodes, callers):
        self._cluster = cluster
        self._nodes = nodes
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.answers = {}
        self.first_piece_seconds = []
        self.errors = collections.Counter()
        self.resends = 0
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        text = plain_text.PlainText(SEED + 1000 + number)
        while not self._stop.is_set():
            self._ask(f"Caller {number}. {text.prompt()}")
            time.sleep(0.02)

    def _ask(self, prompt):
        body = chat_body(self._cluster.model(), prompt, True, ONLINE_ANSWER_TOKENS)
        while True:
            try:
                answer, first = read_stream(self._nodes.take(), body,
                                            self._cluster.online_headers())
            except (OSError, BrokenStream, clusters.HttpError) as error:
                with self._lock:
                    self.errors[type(error).__name__] += 1
                    self.resends += 1
                time.sleep(RESEND_SECONDS)
                continue
            with self._lock:
                self.answers[prompt] = answer
                self.first_piece_seconds.append(first)
            return


class BatchJobs:
    """Batches sent with idempotency keys; what is not acknowledged is sent again."""

    def __init__(self, cluster, nodes, items, jobs):
        self._cluster = cluster
        self._nodes = nodes
        text = plain_text.PlainText(SEED)
        self.prompts = {f"item-{number}": text.prompt() for number in range(items)}
        names = list(self.prompts)
        self._parts = [names[part::jobs] for part in range(jobs)]
        self.ids = []
        self.resends = 0

    def submit(self):
        for number, part in enumerate(self._parts):
            self.ids.append(self._submit_part(number, part))

    def _line(self, name):
        body = chat_body(self._cluster.model(), self.prompts[name], False, BATCH_ANSWER_TOKENS)
        return json.dumps({"custom_id": name, "method": "POST", "url": "/v1/chat/completions",
                           "body": body})

    def _submit_part(self, number, part):
        body = "\n".join(self._line(name) for name in part).encode()
        headers = {**self._cluster.batch_headers(), "Idempotency-Key": f"main-job-{number}"}
        # Every job is sent twice, as callers do who lost the first answer.
        first = json.loads(self._resend(lambda at: clusters.call(at, "POST", "/v1/batches", body,
                                                                 headers)))
        second = json.loads(self._resend(lambda at: clusters.call(at, "POST", "/v1/batches", body,
                                                                  headers)))
        if first["id"] != second["id"]:
            raise RuntimeError("a resent job was accepted as a second one")
        return first["id"]

    def _resend(self, send):
        while True:
            try:
                return send(self._nodes.take())
            except (OSError, clusters.HttpError):
                self.resends += 1
                time.sleep(RESEND_SECONDS)

    def statuses(self):
        headers = self._cluster.batch_headers()
        return [
            json.loads(self._resend(lambda at, job=job: clusters.call(
                at, "GET", f"/v1/batches/{job}", headers=headers)))
            for job in self.ids
        ]

    def done_items(self):
        return sum(status["request_counts"]["completed"] + status["request_counts"]["failed"]
                   for status in self.statuses())

    def finished(self):
        return all(status["status"] == "completed" for status in self.statuses())

    def outputs(self):
        """Returns all output lines of all jobs."""
        headers = self._cluster.batch_headers()
        lines = []
        for job in self.ids:
            output = self._resend(lambda at, job=job: clusters.call(
                at, "GET", f"/v1/batches/{job}/output", headers=headers))
            lines += [json.loads(line) for line in output.decode().splitlines()]
        return lines


def reference_answers(cluster, nodes, prompts, max_tokens):
    """Asks again, now without faults. The emulated model answers equal prompts equally."""
    headers = cluster.online_headers()

    def ask(prompt):
        body = chat_body(cluster.model(), prompt, False, max_tokens)
        answer = clusters.call_json(nodes.take(), "POST", "/v1/chat/completions", body, headers)
        return answer["choices"][0]["message"]["content"]

    with concurrent.futures.ThreadPoolExecutor(48) as pool:
        return dict(zip(prompts, pool.map(ask, prompts)))


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else None


def wait_for_items(jobs, wanted, timeout):
    end = time.monotonic() + timeout
    while jobs.done_items() < wanted:
        if time.monotonic() > end:
            raise TimeoutError(f"fewer than {wanted} items were done within {timeout} s")
        time.sleep(0.1)


def check_outputs(jobs, reference):
    lines = jobs.outputs()
    counts = collections.Counter(line["custom_id"] for line in lines)
    failed = [line for line in lines if line.get("error") or not line.get("response")]
    wrong = 0
    for line in lines:
        if line.get("response"):
            content = line["response"]["body"]["choices"][0]["message"]["content"]
            wrong += content != reference[jobs.prompts[line["custom_id"]]]
    exactly_once = sum(counts[name] == 1 for name in jobs.prompts)
    return {"items": len(jobs.prompts), "items_exactly_once": exactly_once,
            "items_missing": sum(counts[name] == 0 for name in jobs.prompts),
            "items_doubled": sum(counts[name] > 1 for name in jobs.prompts),
            "items_unknown": sum(name not in jobs.prompts for name in counts),
            "items_failed": len(failed), "items_wrong": wrong,
            "failure_example": failed[0] if failed else None}


def check_online(online, reference):
    wrong = sum(answer != reference[prompt] for prompt, answer in online.answers.items())
    seconds = online.first_piece_seconds
    return {"online_answers": len(online.answers), "online_wrong": wrong,
            "online_resends": online.resends, "online_errors": dict(online.errors),
            "online_first_token_p50_ms": round(1000 * percentile(seconds, 0.5), 1),
            "online_first_token_p99_ms": round(1000 * percentile(seconds, 0.99), 1)}


def planned_stop(cluster, nodes, online):
    """Stops a node while callers still send to it. Returns the streams that broke and its exit code.

    Refusals are no breaks: a caller that is told "not run" sends to another node."""
    time.sleep(1)
    before = online.errors["BrokenStream"]
    code = cluster.stop_node(STOPPED_NODE)
    nodes.remove(STOPPED_NODE)
    time.sleep(1)
    return online.errors["BrokenStream"] - before, code


def run(cluster, items, callers):
    cluster.start()
    cluster.apply_configuration()
    for address in cluster.addresses.values():
        clusters.wait_until("the nodes' view of all workers",
                            lambda at=address: cluster.live_workers(at) >= cluster.workers)
    nodes = Nodes(cluster)
    online = OnlineLoad(cluster, nodes, callers)
    jobs = BatchJobs(cluster, nodes, items, 4)
    online.start()
    began = time.monotonic()
    jobs.submit()
    wait_for_items(jobs, items // 4, JOB_TIMEOUT_SECONDS)
    done_at_kill = jobs.done_items()
    nodes.remove(KILLED_NODE)
    cluster.kill(KILLED_NODE)
    workers = cluster.model_workers(cluster.first_node())
    cluster.set_faults({worker: {"state": "dead"} for worker in workers[:KILLED_WORKERS]})
    wait_for_items(jobs, items, JOB_TIMEOUT_SECONDS)
    clusters.wait_until("the jobs' end", jobs.finished)
    seconds = time.monotonic() - began
    broken_by_stop, stop_code = planned_stop(cluster, nodes, online)
    online.stop()
    result = {"done_at_kill": done_at_kill, "killed": [KILLED_NODE, *workers[:KILLED_WORKERS]],
              "batch_seconds": round(seconds, 1), "items_per_second": round(items / seconds, 1),
              "batch_resends": jobs.resends,
              "streams_broken_by_planned_stop": broken_by_stop, "planned_stop_exit_code": stop_code}
    result |= check_outputs(jobs, reference_answers(cluster, nodes, jobs.prompts.values(),
                                                    BATCH_ANSWER_TOKENS))
    result |= check_online(online, reference_answers(cluster, nodes, online.answers,
                                                     ONLINE_ANSWER_TOKENS))
    result["stop_exit_codes"] = cluster.stop()
    return result


def passed(result):
    return (result["items_exactly_once"] == result["items"] and result["items_unknown"] == 0
            and result["items_failed"] == 0 and result["items_wrong"] == 0
            and result["online_wrong"] == 0
            and result["streams_broken_by_planned_stop"] == 0
            and result["planned_stop_exit_code"] == 0
            and result["done_at_kill"] < result["items"]
            and not any(result["stop_exit_codes"].values()))


def main():
    parser = argparse.ArgumentParser(prog="scripts/main_job", description=__doc__)
    parser.add_argument("--items", type=int, default=4000)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--port-offset", type=int, default=0)
    arguments = parser.parse_args()
    clusters.end_on_termination()
    cluster = clusters.Cluster(EXAMPLE, arguments.port_offset, clusters.ROOT / "out" / "main_job")
    try:
        result = run(cluster, arguments.items, arguments.callers)
    except Exception as error:  # pylint: disable=broad-except
        print(f"main_job: {error!r}", file=sys.stderr)
        cluster.show_logs()
        return 1
    finally:
        cluster.kill_all()
    print(json.dumps(result))
    return 0 if passed(result) else 1


if __name__ == "__main__":
    sys.exit(main())

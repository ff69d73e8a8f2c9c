"""Callers that load a cluster of real processes and record what they see."""

import http.client
import json
import random
import threading

MODEL_PATH = "/v1/completions"
PATIENCE_SECONDS = 15


def read_error(body, ended):
    ended["outcome"] = "failed"
    try:
        error = json.loads(body)["error"]
        ended["error_kind"] = error.get("kind", "")
        ended["said_not_run"] = error.get("ran") == "no"
    except (ValueError, KeyError, TypeError):
        ended["error_kind"] = "unreadable"


def stream_lines(answer):
    """Yields the lines of a chunked answer. Raises IncompleteRead when the connection breaks, which
    iterating over the answer would hide as a regular end."""
    rest = b""
    while data := answer.read1(65536):
        *lines, rest = (rest + data).split(b"\n")
        yield from lines


def read_stream(answer, ended):
    """Reads server-sent events to their end."""
    for line in stream_lines(answer):
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):].strip()
        if data == b"[DONE]":
            ended["outcome"] = "complete"
            return
        event = json.loads(data)
        if "error" in event:
            read_error(data, ended)
            return
        if event["choices"]:
            ended["text"] += event["choices"][0].get("text", "")
    ended["outcome"] = "complete"  # a client would take a regular end for the whole answer


class Caller:
    """Sends requests to nodes and records call and return of each."""

    def __init__(self, recorder):
        self.recorder = recorder

    def send(self, node, address, kind, method, path, body, headers, request, expected="",
             not_repeatable=False):
        """Returns (ended, status, body); status 0 when no whole answer came."""
        call = self.recorder.next_call()
        ended = {"call": call, "outcome": "broken", "text": "", "error_kind": "",
                 "said_not_run": False}
        self.recorder.record("call_began", call=call, request=request, node=node, kind=kind,
                             not_repeatable=not_repeatable, expected_text=expected)
        status, content = 0, b""
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_SECONDS)
        try:
            try:
                connection.connect()
            except OSError:
                ended["outcome"] = "not_connected"
                return ended, 0, b""
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            if kind == "stream" and answer.status == 200:
                read_stream(answer, ended)
                status = 200
                return ended, status, b""
            content = answer.read()
            status = answer.status
            ended["outcome"] = "complete"
            if status >= 400:
                read_error(content, ended)
            elif kind == "completion":
                ended["text"] = json.loads(content)["choices"][0]["text"]
            elif kind == "service":
                ended["text"] = json.loads(content)["body"]
            return ended, status, content
        except TimeoutError:
            ended["outcome"] = "gave_up"
            return ended, 0, b""
        except (OSError, http.client.HTTPException):
            ended["outcome"] = "broken"
            return ended, 0, b""
        finally:
            connection.close()
            self.recorder.record("call_ended", **ended)


class OnlineLoad:
    """Threads that send online requests until they are stopped."""

    def __init__(self, cluster, recorder, answers, seed, threads=6):
        self.cluster = cluster
        self.caller = Caller(recorder)
        self.answers = answers
        self.stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(seed, number), daemon=True)
                         for number in range(threads)]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self.stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, seed, number):
        generator = random.Random(f"{seed}-{number}")
        serial = 0
        while not self.stopped.wait(generator.uniform(0, 0.08)):
            serial += 1
            self._one(generator, f"online {seed} {number} {serial}")

    def _one(self, generator, name):
        kind = generator.choice(["stream", "stream", "completion", "service"])
        once = generator.random() < 0.25
        headers = dict(self.cluster.online_headers())
        prompt = name + " word" * generator.randrange(60)
        if once:
            headers["X-Chalkshed-Not-Repeatable"] = "true"
            headers["Idempotency-Key"] = name
        if kind == "service":
            path, body, expected = self.cluster.plain_path(), prompt, prompt
        else:
            tokens = generator.randrange(1, 60)
            path = MODEL_PATH
            body = json.dumps({"model": self.cluster.model(), "prompt": prompt,
                               "max_tokens": tokens, "stream": kind == "stream"})
            expected = self.answers.expected(self.cluster.model(), prompt, tokens)
        for _ in range(1 + generator.randrange(4)):
            node, address = generator.choice(list(self.cluster.all_addresses.items()))
            ended, _, _ = self.caller.send(node, address, kind, "POST", path, body, headers,
                                           prompt, expected, once)
            if ended["outcome"] == "complete" or self.stopped.wait(0.3):
                return


class BatchLoad:
    """Jobs with resends and cancels."""

    def __init__(self, cluster, recorder, answers, seed):
        self.cluster = cluster
        self.recorder = recorder
        self.caller = Caller(recorder)
        self.answers = answers
        self.generator = random.Random(f"{seed}-batch")
        self.jobs = []

    def _send(self, kind, method, path, body, headers, request):
        node, address = self.generator.choice(list(self.cluster.all_addresses.items()))
        return self.caller.send(node, address, kind, method, path, body, headers, request)

    def submit(self, items):
        key = f"job-key-{len(self.jobs)}"
        lines, offered = [], []
        for number in range(items):
            prompt = f"batch of {key} item-{number}"
            tokens = self.generator.randrange(1, 100)
            lines.append(json.dumps({
                "custom_id": f"item-{number}", "method": "POST", "url": MODEL_PATH,
                "body": {"model": self.cluster.model(), "prompt": prompt,
                         "max_tokens": tokens}}))
            offered.append({"custom_id": f"item-{number}", "request": prompt,
                            "expected_text": self.answers.expected(self.cluster.model(), prompt,
                                                                   tokens)})
        self.recorder.record("job_offered", key=key, items=offered)
        self.jobs.append({"key": key, "body": "\n".join(lines) + "\n", "id": None, "end": None,
                          "cancels": self.generator.random() < 0.3})

    def step(self):
        """Goes on with every job that has not ended."""
        for job in self.jobs:
            if job["id"] is None or self.generator.random() < 0.05:
                self._submit(job)
            elif job["end"] is None:
                if job["cancels"] and self.generator.random() < 0.5:
                    self._cancel(job)
                self._poll(job)

    def _submit(self, job):
        headers = {**self.cluster.batch_headers(), "Idempotency-Key": job["key"]}
        ended, status, body = self._send("submit_job", "POST", "/v1/batches", job["body"], headers,
                                         job["key"])
        if ended["outcome"] == "complete" and status == 200:
            job["id"] = json.loads(body)["id"]
            self.recorder.record("job_accepted", key=job["key"], job=job["id"])

    def _cancel(self, job):
        self.recorder.record("job_cancel_requested", job=job["id"])
        job["cancelled"] = True
        ended, status, body = self._send("cancel_job", "POST", f"/v1/batches/{job['id']}/cancel",
                                         "", self.cluster.batch_headers(), job["key"])
        self._note(job, ended, status, body)

    def _poll(self, job):
        ended, status, body = self._send("query", "GET", f"/v1/batches/{job['id']}", None,
                                         self.cluster.batch_headers(), job["key"])
        self._note(job, ended, status, body)

    def _note(self, job, ended, status, body):
        if ended["outcome"] == "complete" and status == 200:
            report = json.loads(body)["status"]
            self.recorder.record("job_reported", job=job["id"], status=report)
            if report in ("completed", "cancelled"):
                job["end"] = report
                self.read_output(job)

    def read_output(self, job):
        """Returns whether the output was read."""
        ended, status, body = self._send("query", "GET", f"/v1/batches/{job['id']}/output", None,
                                         self.cluster.batch_headers(), job["key"])
        if ended["outcome"] != "complete" or status != 200:
            return False
        lines = []
        for text in body.decode().splitlines():
            item = json.loads(text)
            answer = (item.get("response") or {}).get("body") or {}
            failed = item.get("error") or "choices" not in answer
            lines.append({"custom_id": item["custom_id"], "completion": item.get("id", ""),
                          "error_kind": "failed" if failed else "",
                          "text": "" if failed else answer["choices"][0]["text"]})
        self.recorder.record("job_output", job=job["id"], lines=lines, call=ended["call"])
        return True

    def settled(self):
        return all(job["end"] for job in self.jobs)

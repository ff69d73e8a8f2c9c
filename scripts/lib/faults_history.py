"""What callers of a cluster of real processes sent and saw, as history events."""

import json
import subprocess
import threading
import time

import cluster as clusters


def now_us():
    """Microseconds of the clock that the emulator records with."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Recorder:
    """Appends events to a JSON Lines file. Safe to use from several threads."""

    def __init__(self, path):
        self.path = path
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._next_call = 0
        self.operations = 0

    def record(self, event, **fields):
        with self._lock:
            line = json.dumps({"time_us": now_us(), "event": event, **fields})
            self._file.write(line + "\n")
            self._file.flush()

    def next_call(self):
        with self._lock:
            self._next_call += 1
            self.operations += 1
            return f"call-{self._next_call}"


class Answers:
    """The whole answers that the emulated engines give."""

    def __init__(self):
        self._process = subprocess.Popen(
            [str(clusters.BUILD / "chalkshed-history"), "--answers"], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, text=True)
        self._lock = threading.Lock()

    def expected(self, model, prompt, max_tokens):
        request = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        with self._lock:
            self._process.stdin.write(json.dumps(request) + "\n")
            self._process.stdin.flush()
            return json.loads(self._process.stdout.readline())

    def close(self):
        self._process.stdin.close()
        self._process.wait()

"""A cluster of real processes on loopback: the emulator and the nodes of an example deployment."""

import http.client
import json
import pathlib
import re
import signal
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / "build" / "bin"
START_TIMEOUT_SECONDS = 60
STOP_TIMEOUT_SECONDS = 150


class HttpError(Exception):
    """An answer whose status is not 200."""

    def __init__(self, status, body):
        super().__init__(f"status {status}: {body[:300]!r}")
        self.status = status
        self.body = body


def call(address, method, path, body=None, headers=None, timeout=60):
    """Sends one request and returns the body of its answer. Raises HttpError or OSError."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        content = answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"broken answer: {error!r}") from error
    finally:
        connection.close()
    if answer.status != 200:
        raise HttpError(answer.status, content)
    return content


def call_json(address, method, path, value=None, headers=None, timeout=60):
    body = None if value is None else json.dumps(value).encode()
    return json.loads(call(address, method, path, body, headers, timeout))


def wait_until(what, condition, timeout=START_TIMEOUT_SECONDS):
    """Asks `condition` until it is true. Raises TimeoutError that names `what`."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, HttpError, ValueError, KeyError):
            pass
        time.sleep(0.1)
    raise TimeoutError(f"{what} did not happen within {timeout} s")


class Cluster:
    """Starts the processes of examples/<example> with all ports moved by `port_offset`."""

    def __init__(self, example, port_offset, work_dir):
        self.example_dir = ROOT / "examples" / example
        self.offset = port_offset
        self.work_dir = pathlib.Path(work_dir)
        self.work_dir.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.addresses = {}
        emulator_text = (self.example_dir / "emulator.toml").read_text()
        self.control = self._moved(re.search(r'control = "([^"]+)"', emulator_text).group(1))
        self.workers = sum(
            int(count)
            for count in re.findall(r"\[\[workers\]\][^\[]*?count = (\d+)", emulator_text)
        )

        self.configuration = {}
        for path in sorted((self.example_dir / "configuration").glob("*.toml")):
            self.configuration.update(tomllib.loads(path.read_text()))

    def model(self):
        """A model that the example's configuration offers."""
        services = self.configuration["services"].values()
        return next(name for service in services for name in service.get("models", []))

    def online_headers(self):
        """Headers of a tenant without a request limit."""
        return self._headers(lambda tenant: "requests_per_second" not in tenant)

    def batch_headers(self):
        """Headers of the tenant with the largest batch share."""
        tenants = self.configuration["tenants"].values()
        highest = max(tenant.get("batch_weight", 1) for tenant in tenants)
        return self._headers(lambda tenant: tenant.get("batch_weight", 1) == highest)

    def _headers(self, wanted):
        tenants = self.configuration["tenants"].values()
        key = next(tenant["api_key"] for tenant in tenants if wanted(tenant))
        return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    def _moved(self, text):
        def move(match):
            return f"127.0.0.1:{int(match.group(1)) + self.offset}"

        return re.sub(r"127\.0\.0\.1:(\d+)", move, text)

    def _write_settings(self, source):
        target = self.work_dir / source.name
        target.write_text(self._moved(source.read_text()))
        return target

    def _start_process(self, name, program, settings):
        log = open(self.work_dir / f"{name}.log", "ab")
        command = [str(BUILD / program), f"--settings={settings}"]
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            start_new_session=True)
        log.close()

    def start(self):
        self._start_process("emulator", "chalkshed-emulator",
                            self._write_settings(self.example_dir / "emulator.toml"))
        wait_until("the emulator's start", lambda: call(self.control, "GET", "/status"))
        for source in sorted((self.example_dir / "nodes").glob("*.toml")):
            name = source.stem
            settings = self._write_settings(source)
            self.addresses[name] = re.search(r'http = "([^"]+)"', settings.read_text()).group(1)
            self._start_process(name, "chalkshedd", settings)
        for name, address in self.addresses.items():
            wait_until(f"{name}'s readiness", lambda at=address: call(at, "GET", "/readyz"))
            wait_until(f"{name}'s view of all nodes", lambda at=address: self._sees_all(at))

    def _sees_all(self, address):
        nodes = call_json(address, "GET", "/admin/nodes")["nodes"]
        return sum(node["state"] == "alive" for node in nodes) == len(self.addresses)

    def first_node(self):
        return next(iter(self.addresses.values()))

    def apply_configuration(self):
        """Applies the example's configuration with chalkshedctl and waits for all nodes."""
        subprocess.run(
            [str(BUILD / "chalkshedctl"), "configuration", "apply",
             str(self.example_dir / "configuration"), "--wait",
             f"--node={self.first_node()}"],
            check=True, stdout=subprocess.DEVNULL)

    def live_workers(self, address):
        workers = call_json(address, "GET", "/admin/workers")["workers"]
        return sum(worker["state"] == "live" for worker in workers)

    def model_workers(self, address):
        """Ids of the workers of model services that the node knows."""
        services = {name for name, service in self.configuration["services"].items()
                    if service.get("models")}
        workers = call_json(address, "GET", "/admin/workers")["workers"]
        return [worker["id"] for worker in workers if worker["service"] in services]

    def set_faults(self, faults):
        call_json(self.control, "POST", "/faults", faults)

    def kill(self, name):
        """Ends a process at once, as a lost machine would."""
        self.processes[name].kill()
        self.processes[name].wait()
        del self.processes[name]
        self.addresses.pop(name, None)

    def stop_node(self, name):
        """Stops one node as planned. Returns its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        self.addresses.pop(name)
        return self._wait(process)

    def stop(self):
        """Stops the nodes as planned, then the emulator. Returns the exit codes by name."""
        codes = {}
        nodes = {name: process for name, process in self.processes.items() if name != "emulator"}
        for process in nodes.values():
            process.send_signal(signal.SIGTERM)
        for name, process in nodes.items():
            codes[name] = self._wait(process)
        if "emulator" in self.processes:
            self.processes["emulator"].terminate()
            codes["emulator"] = self._wait(self.processes["emulator"])
        self.processes.clear()
        return codes

    @staticmethod
    def _wait(process):
        try:
            return process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def kill_all(self):
        for name in list(self.processes):
            self.kill(name)

    def show_logs(self):
        for name in ["emulator", *sorted(self.addresses)]:
            path = self.work_dir / f"{name}.log"
            if path.exists():
                lines = path.read_text(errors="replace").splitlines()[-15:]
                print(f"--- {name}.log", *lines, sep="\n", file=sys.stderr)


def end_on_termination():
    """Turns SIGTERM into SystemExit, so that the processes are stopped then too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))

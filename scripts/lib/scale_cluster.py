"""Processes of the scale rig: emulators, real nodes and processes full of hollow nodes."""

import http.client
import json
import os
import pathlib
import subprocess
import time

import cluster as clusters

REGIONS = 8
ZONES = 17
NODES_PER_PROCESS = 60
REAL_NODES = 3
WORKERS_PER_EMULATOR = 1000
SERVICES = 25
TENANTS = 480
START_TIMEOUT_SECONDS = 60
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def process_usage(pid):
    """Returns processor seconds and resident bytes of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    resident = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS, resident * PAGE_BYTES


class Hollow:
    """One process of hollow nodes."""

    def __init__(self, process, control, first, count):
        self.process = process
        self.control = control
        self.first = first
        self.count = count

    def report(self):
        return clusters.call_json(self.control, "GET", "/report")

    def expect(self, nodes):
        clusters.call_json(self.control, "POST", f"/expect?nodes={nodes}")

    def kill(self, count):
        self.count -= count
        clusters.call_json(self.control, "POST", f"/kill?count={count}")


class ScaleCluster:
    """A cluster that grows. All processes are ended by stop()."""

    def __init__(self, port, work_dir):
        self.port = port
        self.work_dir = pathlib.Path(work_dir)
        self.work_dir.mkdir(parents=True, exist_ok=True)
        self.platform = f"127.0.0.1:{port}"
        self.emulators = []
        self.real = {}  # HTTP address: process
        self.hollow = []
        self.workers = 0
        self.next_control_port = port + 20

    def _spawn(self, name, command):
        with open(self.work_dir / f"{name}.log", "wb") as log:
            return subprocess.Popen(
                [str(clusters.BUILD / command[0]), *command[1:]], stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, start_new_session=True)

    def _list_machines(self, machines):
        clusters.call(self.platform, "POST", "/machines",
                      json.dumps({"machines": machines}).encode())

    def grow_workers(self, workers):
        """Starts the platform, then emulated workers until there are `workers`."""
        while not self.emulators or self.workers < workers:
            number = len(self.emulators)
            # The first emulates the platform alone.
            count = min(WORKERS_PER_EMULATOR, workers - self.workers) if number else 0
            control = f"127.0.0.1:{self.port + number}"
            settings = self.work_dir / f"emulator-{number}.toml"
            settings.write_text(self._emulator_settings(number, control, count))
            process = self._spawn(f"emulator-{number}",
                                  ["chalkshed-emulator", f"--settings={settings}"])
            self.emulators.append(process)
            clusters.wait_until("an emulator's start",
                                lambda at=control: clusters.call(at, "GET", "/status"))
            if number > 0:
                listed = clusters.call_json(control, "GET", "/machines")
                self._list_machines(listed["machines"])
            self.workers += count

    def _emulator_settings(self, number, control, count):
        lines = [f'control = "{control}"', "[table]", "latency_ms = 4", "[objects]",
                 "latency_ms = 4"]
        if count == 0:
            return "\n".join(lines) + "\n"
        per_service = count // SERVICES
        for service in range(SERVICES):
            extra = count % SERVICES if service == 0 else 0
            first = self.port + 100 + per_service * service + (count % SERVICES if service else 0)
            zones = [f'"zone-{(service + step) % ZONES}"' for step in range(ZONES)]
            lines += ["[[workers]]", f'service = "service-{service}"',
                      f'id_prefix = "worker-{number}-{service}"',
                      f"count = {per_service + extra}",
                      f'first_address = "127.0.{30 + number}.1:{first}"',
                      f"zones = [{', '.join(zones)}]", f'region = "region-{service % REGIONS}"']
        return "\n".join(lines) + "\n"

    def start_real_nodes(self):
        for number in range(REAL_NODES):
            address = f"127.0.9.{number + 1}:{self.port}"
            zone, region = f"zone-{number}", f"region-{number}"
            process = self._spawn(f"real-{number}", [
                "chalkshedd", f"--id=real-{number}", f"--zone={zone}", f"--region={region}",
                f"--http={address}", f"--peer={address}", f"--table={self.platform}",
                f"--objects={self.platform}", f"--machines={self.platform}",
                "--log-level=warning"])
            self.real[address] = process
            self._list_machines([self._machine(f"real-{number}", address, zone, region)])

    @staticmethod
    def _machine(name, address, zone, region):
        return {"id": name, "role": "node", "state": "live", "service": "", "address": address,
                "peer_address": address, "zone": zone, "region": region, "incarnation": 1}

    def grow_nodes(self, nodes):
        """Adds hollow nodes until there are `nodes` with the real ones."""
        while self.nodes() < nodes:
            first = sum(hollow.count for hollow in self.hollow)
            count = min(NODES_PER_PROCESS, nodes - self.nodes())
            control = f"127.0.0.1:{self.next_control_port}"
            self.next_control_port += 1
            process = self._spawn(f"hollow-{first}", [
                "chalkshed-scale", f"--platform={self.platform}", f"--control={control}",
                f"--first={first}", f"--count={count}", f"--regions={REGIONS}",
                f"--zones={ZONES}", f"--port={self.port}"])
            hollow = Hollow(process, control, first, count)
            self.hollow.append(hollow)
            clusters.wait_until("a hollow process's start", hollow.report)
            self._list_machines([self._hollow_machine(first + offset) for offset in range(count)])
            clusters.wait_until("the start of a process's nodes",
                                lambda at=hollow: at.report()["nodes"] == at.count)
        for hollow in self.hollow:
            hollow.expect(nodes)

    def _hollow_machine(self, index):
        address = f"127.0.{10 + index // 200}.{1 + index % 200}:{self.port}"
        return self._machine(f"hollow-{index}", address, f"zone-{index % ZONES}",
                             f"region-{index % REGIONS}")

    def nodes(self):
        return len(self.real) + sum(hollow.count for hollow in self.hollow)

    def wait_settled(self, timeout):
        """Returns the time at which the last hollow node saw all nodes."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            reports = [hollow.report() for hollow in self.hollow]
            if all("settled_at" in report for report in reports):
                return max(report["settled_at"] for report in reports)
            time.sleep(0.2)
        raise TimeoutError(f"the views did not settle within {timeout} s")

    def real_versions(self):
        versions = []
        for address in self.real:
            try:
                shown = clusters.call_json(address, "GET", "/admin/configuration")
                versions.append(shown["version"])
            except clusters.HttpError:
                versions.append(0)
        return versions

    def show_logs(self):
        for path in sorted(self.work_dir.glob("*.log")):
            lines = path.read_text(errors="replace").splitlines()[-5:]
            if lines:
                print(f"--- {path.name}", *lines, sep="\n")

    def stop(self):
        processes = [*self.real.values(), *(hollow.process for hollow in self.hollow),
                     *self.emulators]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()


def configuration_text(version, changed_limit):
    """A configuration of the size to build towards, with one tenant's limit given."""
    lines = [f"version = {version}"]
    for service in range(SERVICES):
        lines += [f"[services.service-{service}]", 'kind = "model"',
                  f'models = ["model-{service}"]']
    for tenant in range(TENANTS):
        limit = changed_limit if tenant == 0 else 1000
        lines += [f"[tenants.tenant-{tenant}]", f'api_key = "key-{tenant}"',
                  f"requests_per_second = {limit}"]
    return "\n".join(lines) + "\n"


def apply_configuration(address, version, changed_limit):
    """Applies a change through one node. Returns the new version and when the call was sent."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    started = time.monotonic()
    connection.request("POST", "/admin/configuration",
                       configuration_text(version, changed_limit).encode(),
                       {"Content-Type": "application/toml"})
    answer = connection.getresponse()
    content = answer.read()
    connection.close()
    if answer.status != 200:
        raise clusters.HttpError(answer.status, content)
    return json.loads(content)["version"], started

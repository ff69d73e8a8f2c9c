"""Rounds of faults over real processes, judged by the same checker as the simulator's runs."""

import argparse
import json
import random
import re
import shutil
import signal
import subprocess
import sys
import threading
import time

import cluster as clusters
from faults_callers import BatchLoad, Caller, OnlineLoad
from faults_history import Answers, Recorder

EXAMPLE = "seat-desk"
PLAIN_PATH = "/services/setekart-tjeneste/ask"
ROUND_SECONDS = 3.5
FREEZE_SECONDS = 20  # past the batch lease of 15 s and its margin
SETTLE_SECONDS = 120


class FaultCluster(clusters.Cluster):
    """A cluster whose nodes are killed, paused, stopped and started again."""

    def __init__(self, port_offset, work_dir, recorder):
        super().__init__(EXAMPLE, port_offset, work_dir)
        self.recorder = recorder
        self.run_log = self.work_dir / "runs.jsonl"
        self.run_log.unlink(missing_ok=True)
        self.all_addresses = {}
        self.incarnations = {}

    @staticmethod
    def plain_path():
        return PLAIN_PATH

    def _write_settings(self, source):
        target = super()._write_settings(source)
        if source.name == "emulator.toml":
            target.write_text(f'run_log = "{self.run_log}"\n' + target.read_text())
        return target

    def _start_process(self, name, program, settings):
        super()._start_process(name, program, settings)
        if program == "chalkshedd":
            self.incarnations[name] = self.incarnations.get(name, 0) + 1
            self.recorder.record("process_started", process=name,
                                 incarnation=self.incarnations[name])

    def start(self):
        super().start()
        self.all_addresses = dict(self.addresses)

    def start_node(self, name):
        self.addresses[name] = self.all_addresses[name]
        self._start_process(name, "chalkshedd", self.work_dir / f"{name}.toml")

    def kill_node(self, name):
        self.kill(name)
        self.recorder.record("process_ended", process=name)

    def stop_and_restart(self, name):
        self.recorder.record("planned_stop", process=name, ended=False)
        code = self.stop_node(name)
        self.recorder.record("process_ended", process=name)
        self.recorder.record("planned_stop", process=name, ended=True)
        self.start_node(name)
        return code

    def signal_node(self, name, number):
        self.processes[name].send_signal(number)


class Faults:
    """Begins one fault a round and ends it when its time has come."""

    def __init__(self, cluster, recorder, seed):
        self.cluster = cluster
        self.recorder = recorder
        self.generator = random.Random(f"{seed}-faults")
        self.count = 0
        self.open = []  # (end time, function that heals)
        self.busy_nodes = set()
        self.kinds = []

    def run(self, round_number):
        self.heal_due()
        if not self.kinds:
            self.kinds = ["kill_node", "stop_node", "freeze_node", "store", "store", "worker",
                          "worker", "leaving", "stop_node", "kill_node"]
            self.generator.shuffle(self.kinds)
        kind = self.kinds.pop()
        needs_node = kind in ("kill_node", "stop_node", "freeze_node")
        if needs_node and self.busy_nodes:
            self.kinds.insert(0, kind)
            kind = self.generator.choice(["store", "worker"])
        print(f"round {round_number}: {kind}", flush=True)
        getattr(self, kind)()
        if self.generator.random() < 0.3:
            self.worker()

    def heal_due(self, everything=False):
        for entry in list(self.open):
            if everything:
                time.sleep(max(0.0, entry[0] - time.monotonic()))
            if entry[0] <= time.monotonic():
                self.open.remove(entry)
                entry[1]()

    def _begin(self, kind, processes, seconds, heal):
        self.count += 1
        fault = self.count
        self.recorder.record("fault_began", fault=fault, kind=kind, processes=processes)

        def end():
            heal()
            self.recorder.record("fault_ended", fault=fault)

        self.open.append((time.monotonic() + seconds, end))

    def _node(self):
        return self.generator.choice(sorted(self.cluster.addresses))

    def kill_node(self):
        name = self._node()
        self.busy_nodes.add(name)
        self.cluster.kill_node(name)
        self._begin("kill_node", [name], 2, lambda: (self.cluster.start_node(name),
                                                     self.busy_nodes.discard(name)))

    def freeze_node(self):
        name = self._node()
        self.busy_nodes.add(name)
        self.cluster.signal_node(name, signal.SIGSTOP)
        self._begin("freeze_node", [name], FREEZE_SECONDS,
                    lambda: (self.cluster.signal_node(name, signal.SIGCONT),
                             self.busy_nodes.discard(name)))

    def stop_node(self):
        self.count += 1  # a planned stop excuses nothing, so it is not recorded as a fault
        name = self._node()
        code = self.cluster.stop_and_restart(name)
        if code != 0:
            raise RuntimeError(f"{name} ended its planned stop with {code}")

    def store(self):
        change, back = self.generator.choice([
            ({"outage": True}, {"outage": False}),
            ({"slowness": 60}, {"slowness": 1}),
            ({"lost_answer_probability": 0.3}, {"lost_answer_probability": 0})])
        services = ("table", "objects")
        self.cluster.set_faults({service: change for service in services})
        self._begin("store_" + next(iter(change)), [], 3,
                    lambda: self.cluster.set_faults({service: back for service in services}))

    def worker(self):
        worker = f"sprak-tjenere-{self.generator.randrange(1, self.cluster.workers + 1)}"
        change, back = self.generator.choice([
            ({"state": "dead"}, {"state": "live"}),
            ({"state": "frozen"}, {"state": "live"}),
            ({"slow_factor": 8}, {"slow_factor": 1}),
            ({"truncate_probability": 0.3}, {"truncate_probability": 0})])
        self.cluster.set_faults({worker: change})
        kind = "freeze_worker" if change.get("state") == "frozen" else "worker_fault"
        self._begin(kind, [worker], 3, lambda: self.cluster.set_faults({worker: back}))

    def leaving(self):
        worker = f"sprak-tjenere-{self.generator.randrange(1, self.cluster.workers + 1)}"
        self.count += 1
        self.cluster.set_faults({worker: {"state": "leaving"}})
        self.recorder.record("leaving_changed", backend=worker, leaving=True)

        def end():
            self.recorder.record("leaving_changed", backend=worker, leaving=False)
            self.cluster.set_faults({worker: {"state": "live"}})

        self.open.append((time.monotonic() + 7, end))


class Operators:
    """Changes the configuration and watches which version each node has in force."""

    def __init__(self, cluster, recorder):
        self.cluster = cluster
        self.recorder = recorder
        self.caller = Caller(recorder)
        self.changes = 0
        self.stopped = threading.Event()
        self.seen = {}
        self._watcher = threading.Thread(target=self._watch, daemon=True)

    def start(self):
        self._watcher.start()

    def stop(self):
        self.stopped.set()
        self._watcher.join()

    def race(self):
        nodes = list(self.cluster.addresses.items())[:2]
        threads = [threading.Thread(target=self._change, args=node) for node in nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _change(self, node, address):
        self.changes += 1
        name = f"change-{node}-{self.changes}"
        ended, status, text = self.caller.send(node, address, "query", "GET",
                                               "/admin/configuration?format=toml", None, {}, name)
        if ended["outcome"] != "complete" or status != 200:
            return
        body = text.decode() + f'\n[tenants.{name}]\napi_key = "key-{name}"\n'
        ended, status, answer = self.caller.send(node, address, "configure", "POST",
                                                 "/admin/configuration", body, {}, name)
        if ended["outcome"] == "complete" and status == 200:
            self.recorder.record("configuration_accepted", change=name,
                                 version=json.loads(answer)["version"])

    def _watch(self):
        while not self.stopped.wait(0.4):
            for node, address in list(self.cluster.addresses.items()):
                try:
                    report = clusters.call_json(address, "GET", "/admin/configuration", timeout=2)
                except (OSError, ValueError, clusters.HttpError):
                    continue
                key = (self.cluster.incarnations[node], report["version"])
                if self.seen.get(node) != key:
                    self.seen[node] = key
                    names = re.findall(r"\[tenants\.(change-[^\]]+)\]", report["text"])
                    self.recorder.record("configuration_in_force", node=node,
                                         version=report["version"], changes=names)


def run_rounds(cluster, recorder, arguments):
    """Returns the number of faults."""
    answers = Answers()
    online = OnlineLoad(cluster, recorder, answers, arguments.seed)
    batch = BatchLoad(cluster, recorder, answers, arguments.seed)
    operators = Operators(cluster, recorder)
    faults = Faults(cluster, recorder, arguments.seed)
    operators.start()
    online.start()
    for round_number in range(1, arguments.rounds + 1):
        if round_number % 3 == 1:
            batch.submit(120)
        if round_number % 4 == 2:
            operators.race()
        faults.run(round_number)
        end = time.monotonic() + ROUND_SECONDS
        while time.monotonic() < end:
            batch.step()
            time.sleep(0.4)
            faults.heal_due()
    faults.heal_due(everything=True)
    online.stop()
    end = time.monotonic() + SETTLE_SECONDS
    while not batch.settled() and time.monotonic() < end:
        batch.step()
        time.sleep(0.3)
    time.sleep(11)  # the configuration's bound
    recorder.record("quiescent")
    for job in batch.jobs:
        for _ in range(5):
            if job["id"] is None or batch.read_output(job):
                break
            time.sleep(0.5)
    operators.stop()
    answers.close()
    return faults.count


def check(cluster, recorder):
    """Returns the checker's summary."""
    result = subprocess.run(
        [str(clusters.BUILD / "chalkshed-history"), str(recorder.path), str(cluster.run_log)],
        stdout=subprocess.PIPE, text=True, check=False)
    lines = result.stdout.splitlines()
    if result.returncode not in (0, 1) or not lines:
        raise RuntimeError("the histories could not be checked")
    print("\n".join(lines[:-1]))
    return json.loads(lines[-1])


def main():
    parser = argparse.ArgumentParser(prog="scripts/faults", description=__doc__)
    parser.add_argument("--rounds", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port-offset", type=int, default=21800,
                        help="added to every port of the example")
    arguments = parser.parse_args()
    clusters.end_on_termination()
    work_dir = clusters.ROOT / "out" / "faults"
    shutil.rmtree(work_dir, ignore_errors=True)
    work_dir.mkdir(parents=True)
    recorder = Recorder(work_dir / "callers.jsonl")
    cluster = FaultCluster(arguments.port_offset, work_dir, recorder)
    try:
        cluster.start()
        cluster.apply_configuration()
        count = run_rounds(cluster, recorder, arguments)
        codes = cluster.stop()
        summary = check(cluster, recorder)
        violations = summary["violations"] + sum(code != 0 for code in codes.values())
        print(json.dumps({"rounds": arguments.rounds, "faults": count,
                          "operations": recorder.operations, "violations": violations,
                          "guarantees": summary["guarantees"]}))
        return 0 if violations == 0 else 1
    except Exception as error:  # pylint: disable=broad-except
        print(f"faults: {error!r}", file=sys.stderr)
        cluster.show_logs()
        return 1
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    sys.exit(main())

"""The benchmark: traces of both deployments under virtual time, then real processes for what a hop
and a token cost. Writes a report with plots and prints one JSON object as the last line."""

import argparse
import json
import subprocess
import sys

import bench_report
import cluster as clusters

EXAMPLE = "seat-desk"
BENCH = clusters.BUILD / "chalkshed-bench"
BACKEND_CONTROL_PORT = 7390
OUT = clusters.ROOT / "out" / "bench"


class BenchCluster(clusters.Cluster):
    """Serves the plain back ends from a process of their own, so that pings do not wait for the
    emulator's engines."""

    def _write_settings(self, source):
        target = super()._write_settings(source)
        if source.name == "emulator.toml":
            head, _, rest = target.read_text().partition("[[backends]]")
            backends, _, nodes = rest.partition("[[nodes]]")
            target.write_text(head + "[[nodes]]" + nodes)
            self.backend_control = f"127.0.0.1:{BACKEND_CONTROL_PORT + self.offset}"
            second = self.work_dir / "backends.toml"
            second.write_text(f'control = "{self.backend_control}"\n[[backends]]{backends}')
            self._start_process("backends", "chalkshed-emulator", second)
            clusters.wait_until("the back ends' start", self._backends)
        return target

    def _backends(self):
        return clusters.call_json(self.backend_control, "GET", "/machines")

    def apply_configuration(self):
        clusters.call_json(self.control, "POST", "/machines", self._backends())
        super().apply_configuration()


def run_virtual(arguments):
    """Replays the traces; the table goes to stdout. Returns the parsed results."""
    results = OUT / "virtual.json"
    command = [str(BENCH), f"--seed={arguments.seed}", f"--seconds={arguments.seconds}",
               f"--json={results}"]
    subprocess.run(command, check=True)
    return json.loads(results.read_text())


def plain_service(cluster):
    services = cluster.configuration["services"].items()
    return next(name for name, service in services if service["kind"] == "plain")


def bearer(headers):
    return headers["Authorization"].removeprefix("Bearer ")


def run_live(port_offset):
    """Measures real processes. Returns the parsed results."""
    cluster = BenchCluster(EXAMPLE, port_offset, OUT)
    try:
        cluster.start()
        cluster.apply_configuration()
        node = cluster.first_node()
        clusters.wait_until("the node's view of all workers",
                            lambda: cluster.live_workers(node) >= cluster.workers)
        machines = clusters.call_json(cluster.control, "GET", "/status")["machines"]
        workers = cluster.model_workers(node)
        worker = next(m["address"] for m in machines if m["id"] == workers[0])
        command = [str(BENCH), "live", f"--node={node}", f"--worker={worker}",
                   f"--model={cluster.model()}", f"--service={plain_service(cluster)}",
                   f"--online-key={bearer(cluster.online_headers())}",
                   f"--batch-key={bearer(cluster.batch_headers())}",
                   f"--node-process={cluster.processes['node-1'].pid}"]
        output = subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout
        return json.loads(output.splitlines()[-1])
    except Exception:
        cluster.show_logs()
        raise
    finally:
        cluster.kill_all()


def print_live(live):
    print("real processes:")
    for name, value in live.items():
        print(f"  {name:32} {value:.3f}" if isinstance(value, float) else f"  {name:32} {value}")


def summary(arguments, virtual, live):
    deployments = {name: deployment["summary"]
                   for name, deployment in virtual["deployments"].items()}
    result = {"seed": arguments.seed, "deployments": deployments}
    return result | live


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=60, help="length of the traces")
    parser.add_argument("--port-offset", type=int, default=0)
    arguments = parser.parse_args()
    clusters.end_on_termination()
    OUT.mkdir(parents=True, exist_ok=True)
    try:
        live = run_live(arguments.port_offset)
        print_live(live)
        virtual = run_virtual(arguments)
    except Exception as error:  # pylint: disable=broad-except
        print(f"bench: {error!r}", file=sys.stderr)
        return 1
    result = summary(arguments, virtual, live)
    report = bench_report.write(OUT, result, virtual)
    print(f"report: {report.relative_to(clusters.ROOT)}")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())

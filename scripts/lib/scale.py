"""Grows a cluster of hollow and real nodes and measures what control costs each node."""

import argparse
import json
import pathlib
import sys
import tempfile
import time

import cluster as clusters
from scale_cluster import ScaleCluster, apply_configuration, process_usage

FULL_NODES = 360
FULL_WORKERS = 3000
CONFIGURATION_CHANGES = 3
LOST_NODES = 18
BATCH_ITEMS = 512
SETTLE_TIMEOUT_SECONDS = 60
FORCE_TIMEOUT_SECONDS = 60
RECOVERY_TIMEOUT_SECONDS = 60
BATCH_TIMEOUT_SECONDS = 90


def difference(before, after, name):
    return after.get(name, 0) - before.get(name, 0)


def sum_kinds(before, after):
    """Messages, bytes and processor time by kind between two lists of reports."""
    kinds = {}
    for start, end in zip(before, after):
        for kind, tally in end["kinds"].items():
            base = start["kinds"].get(kind, {})
            total = kinds.setdefault(kind, {})
            for name in tally:
                total[name] = total.get(name, 0) + difference(base, tally, name)
    return kinds


def measure(cluster, seconds):
    """What control costs a node over some seconds without callers or changes."""
    real_pids = [process.pid for process in cluster.real.values()]
    before = [hollow.report() for hollow in cluster.hollow]
    real_before = [process_usage(pid) for pid in real_pids]
    time.sleep(seconds)
    after = [hollow.report() for hollow in cluster.hollow]
    real_after = [process_usage(pid) for pid in real_pids]
    nodes = sum(report["nodes"] for report in after)
    elapsed = sum(end["time"] - start["time"] for start, end in zip(before, after)) / len(after)
    cpu = sum(difference(start, end, "cpu_seconds") for start, end in zip(before, after))
    kinds = {}
    for kind, total in sorted(sum_kinds(before, after).items()):
        kinds[kind] = {name: value / nodes / elapsed for name, value in total.items()}
    sent = sum(kind["bytes_sent"] for kind in kinds.values())
    received = sum(kind["bytes_received"] for kind in kinds.values())
    real_cpu = sum(end[0] - start[0] for start, end in zip(real_before, real_after))
    return {
        "nodes": cluster.nodes(),
        "workers": cluster.workers,
        "cpu_fraction": cpu / nodes / elapsed,
        "real_cpu_fraction": real_cpu / len(real_pids) / elapsed,
        "bytes_sent_per_second": sent,
        "bytes_received_per_second": received,
        "hollow_memory_mb": sum(r["resident_bytes"] for r in after) / nodes / 1e6,
        "real_memory_mb": max(usage[1] for usage in real_after) / 1e6,
        "kinds_per_second": kinds,
        "views_agree": len({d for report in after for d in report["view_digests"]}) == 1,
    }


def change_configuration(cluster, version, limit):
    """Returns the new version and the time until the last node had it in force."""
    address = next(iter(cluster.real))
    new_version, started = apply_configuration(address, version, limit)
    end = started + FORCE_TIMEOUT_SECONDS
    real_at = None
    while time.monotonic() < end:
        if real_at is None and all(seen >= new_version for seen in cluster.real_versions()):
            real_at = time.monotonic()
        reports = [hollow.report()["in_force"].get(str(new_version)) for hollow in cluster.hollow]
        everywhere = all(report and report["nodes"] >= hollow.count
                         for report, hollow in zip(reports, cluster.hollow))
        if everywhere and real_at is not None:
            last = max([real_at, *(report["at"] for report in reports)])
            return new_version, last - started
        time.sleep(0.05)
    raise TimeoutError(f"version {new_version} was not in force everywhere in time")


def submit_batch(cluster):
    address = list(cluster.real)[1]
    lines = [json.dumps({"custom_id": f"item-{number}", "method": "POST",
                         "url": "/v1/completions",
                         "body": {"model": "model-0", "prompt": f"item {number}",
                                  "max_tokens": 64}})
             for number in range(BATCH_ITEMS)]
    headers = {"Authorization": "Bearer key-1", "Idempotency-Key": "scale-batch"}
    job = json.loads(clusters.call(address, "POST", "/v1/batches", "\n".join(lines).encode(),
                                   headers))
    return address, f"/v1/batches/{job['id']}", headers


def finish_batch(address, path, headers):
    """Returns how many items the output holds, each counted once; -1 when one is there twice."""
    def finished():
        return clusters.call_json(address, "GET", path, headers=headers)["status"] == "completed"

    clusters.wait_until("the batch's end", finished, BATCH_TIMEOUT_SECONDS)
    output = clusters.call(address, "GET", f"{path}/output", headers=headers).decode()
    items = [json.loads(line)["custom_id"] for line in output.splitlines()]
    return len(items) if len(set(items)) == len(items) else -1


def lose_nodes(cluster, lost):
    """Ends hollow nodes at once while a batch runs; returns what became of the others."""
    batch = submit_batch(cluster)
    before = [hollow.report() for hollow in cluster.hollow]
    started = time.monotonic()
    share, rest = divmod(lost, len(cluster.hollow))
    for number, hollow in enumerate(cluster.hollow):
        hollow.kill(share + (1 if number < rest else 0))
    survivors = cluster.nodes()
    for hollow in cluster.hollow:
        hollow.expect(survivors)
    settled = cluster.wait_settled(RECOVERY_TIMEOUT_SECONDS) - started
    after = [hollow.report() for hollow in cluster.hollow]
    elapsed = time.monotonic() - started
    return {
        "lost": lost,
        "settled_seconds": settled,
        "items_submitted": BATCH_ITEMS,
        "items_finished_once": finish_batch(*batch),
        "drain_marks_before": before[0]["drain_marks"] / before[0]["nodes"],
        "drain_marks_after": after[0]["drain_marks"] / after[0]["nodes"],
        "seconds_watched": elapsed,
    }


def run_size(nodes, options, lost):
    """Measures a fresh cluster; then ends `lost` of its nodes, unless that is 0."""
    workers = round(nodes * options.workers_per_node)
    with tempfile.TemporaryDirectory() as work_dir:
        cluster = ScaleCluster(options.port, work_dir)
        try:
            cluster.grow_workers(workers)
            cluster.start_real_nodes()
            result = measure_size(cluster, nodes, options)
            recovery = lose_nodes(cluster, lost) if lost else None
        except Exception:
            cluster.show_logs()
            raise
        finally:
            cluster.stop()
    print(f"{nodes} nodes, {workers} workers: "
          f"{total_bytes(result):.0f} B/s, "
          f"{result['cpu_fraction'] * 100:.2f}% of a core "
          f"(real {result['real_cpu_fraction'] * 100:.2f}%), "
          f"{result['hollow_memory_mb']:.1f} MB (real {result['real_memory_mb']:.1f} MB), "
          f"formed in {result['formed_seconds']:.1f} s, "
          f"configuration in {max(result['config_seconds']):.2f} s", flush=True)
    return result, recovery


def measure_size(cluster, nodes, options):
    first = next(iter(cluster.real))
    clusters.wait_until("the first node", lambda: clusters.call(first, "GET", "/healthz"))
    clusters.wait_until("the first configuration", lambda: apply_configuration(first, 0, 100))
    started = time.monotonic()
    cluster.grow_nodes(nodes)
    formed = cluster.wait_settled(SETTLE_TIMEOUT_SECONDS) - started
    version = max(cluster.real_versions())
    time.sleep(options.rest)
    result = measure(cluster, options.seconds)
    result["formed_seconds"] = formed
    result["config_seconds"] = []
    for change in range(CONFIGURATION_CHANGES):
        version, seconds = change_configuration(cluster, version, 200 + change)
        result["config_seconds"].append(seconds)
    return result


def total_bytes(result):
    return result["bytes_sent_per_second"] + result["bytes_received_per_second"]


def summary(sizes, recovery):
    largest = sizes[-1]
    return {
        "nodes": largest["nodes"],
        "workers": largest["workers"],
        "control_cpu_fraction": max(largest["cpu_fraction"], largest["real_cpu_fraction"]),
        "control_bytes_per_second": total_bytes(largest),
        "memory_mb": largest["real_memory_mb"],
        "hollow_memory_mb": largest["hollow_memory_mb"],
        "config_seconds_p100": max(max(size["config_seconds"]) for size in sizes),
        "lost_nodes": recovery["lost"],
        "recovery_seconds": recovery["settled_seconds"],
        "items_lost": recovery["items_submitted"] - recovery["items_finished_once"],
        "sizes": [size["nodes"] for size in sizes],
        "bytes_by_size": [round(total_bytes(size)) for size in sizes],
        "cpu_by_size": [round(size["cpu_fraction"], 5) for size in sizes],
    }


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="60,180,360", help="node counts, growing")
    parser.add_argument("--seconds", type=float, default=10, help="length of a measurement")
    parser.add_argument("--rest", type=float, default=20, help="seconds before a measurement")
    parser.add_argument("--workers-per-node", type=float, default=FULL_WORKERS / FULL_NODES)
    parser.add_argument("--port", type=int, default=7600, help="first port of the rig")
    parser.add_argument("--output", help="file for everything measured (JSON)")
    return parser.parse_args()


def main():
    clusters.end_on_termination()
    options = parse_arguments()
    sizes = [int(size) for size in options.sizes.split(",")]
    results = []
    recovery = None
    started = time.monotonic()
    for nodes in sizes:
        lost = max(1, nodes * LOST_NODES // FULL_NODES) if nodes == sizes[-1] else 0
        result, recovery = run_size(nodes, options, lost)
        results.append(result)
    line = summary(results, recovery)
    line["seconds"] = round(time.monotonic() - started)
    if options.output:
        document = {"summary": line, "sizes": results, "recovery": recovery}
        pathlib.Path(options.output).write_text(json.dumps(document, indent=1) + "\n")
    print(json.dumps(line))


if __name__ == "__main__":
    sys.exit(main())

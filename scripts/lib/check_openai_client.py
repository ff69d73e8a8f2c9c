"""Starts an example cluster and drives it with the npm package `openai`, unchanged."""

import argparse
import pathlib
import shutil
import subprocess
import sys

import cluster as clusters

EXAMPLE = "seat-desk"
PACKAGE = "openai@4.104.0"


def install(folder):
    """Installs the client library into `folder`, next to a copy of the check."""
    folder.mkdir(parents=True, exist_ok=True)
    if not (folder / "node_modules" / "openai").exists():
        subprocess.run(["npm", "install", "--silent", "--no-audit", "--no-fund",
                        "--prefix", str(folder), PACKAGE], check=True)
    source = pathlib.Path(__file__).with_name("check_openai_client.mjs")
    return shutil.copy(source, folder / source.name)


def main():
    parser = argparse.ArgumentParser(prog="scripts/check_openai_client", description=__doc__)
    parser.add_argument("--port-offset", type=int, default=0)
    arguments = parser.parse_args()
    clusters.end_on_termination()
    out = clusters.ROOT / "out" / "openai_client"
    script = install(out)
    cluster = clusters.Cluster(EXAMPLE, arguments.port_offset, out / "cluster")
    try:
        cluster.start()
        cluster.apply_configuration()
        address = cluster.first_node()
        clusters.wait_until("the node's view of all workers",
                            lambda: cluster.live_workers(address) >= cluster.workers)
        key = cluster.online_headers()["Authorization"].removeprefix("Bearer ")
        command = ["node", str(script), f"http://{address}/v1", key, cluster.model(),
                   f"http://{cluster.control}"]
        return subprocess.run(command, check=False, timeout=120).returncode
    finally:
        cluster.kill_all()


if __name__ == "__main__":
    sys.exit(main())

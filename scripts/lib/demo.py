"""The demo: three nodes, one streamed chat completion, one finished batch."""

import argparse
import http.client
import json
import sys
import time

import cluster as clusters
import plain_text

EXAMPLE = "seat-desk"
BATCH_ITEMS = 6
SEED = 1


def chat_body(cluster, question, stream):
    return {"model": cluster.model(), "stream": stream, "max_tokens": 40,
            "messages": [{"role": "user", "content": question}]}


def show_stream(cluster, address, question):
    """Prints a streamed answer as it arrives. Returns its number of pieces."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", "/v1/chat/completions",
                       json.dumps(chat_body(cluster, question, True)), cluster.online_headers())
    answer = connection.getresponse()
    if answer.status != 200:
        raise clusters.HttpError(answer.status, answer.read())
    pieces = 0
    finished = False
    for line in answer:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):].strip()
        if data == b"[DONE]":
            finished = True
            break
        text = json.loads(data)["choices"][0]["delta"].get("content", "")
        pieces += bool(text)
        print(text, end="", flush=True)
    print()
    connection.close()
    if not finished or pieces == 0:
        raise RuntimeError("the stream ended before its end mark")
    return pieces


def run_batch(cluster, submit_to, read_from, questions):
    """Runs a batch and prints its output. Returns its number of items."""
    lines = [
        json.dumps({"custom_id": f"item-{number}", "method": "POST",
                    "url": "/v1/chat/completions", "body": chat_body(cluster, question, False)})
        for number, question in enumerate(questions, 1)
    ]
    headers = cluster.batch_headers()
    job = json.loads(clusters.call(submit_to, "POST", "/v1/batches", "\n".join(lines).encode(),
                                   {**headers, "Idempotency-Key": "demo-batch-1"}))
    path = f"/v1/batches/{job['id']}"
    print(f"accepted as {job['id']}")

    def finished():
        status = clusters.call_json(read_from, "GET", path, headers=headers)
        return status["status"] == "completed"

    clusters.wait_until("the batch's end", finished)
    output = clusters.call(read_from, "GET", f"{path}/output", headers=headers).decode()
    answers = {}
    for line in output.splitlines():
        item = json.loads(line)
        content = item["response"]["body"]["choices"][0]["message"]["content"]
        answers[item["custom_id"]] = content
        print(f"  {item['custom_id']}:{content}")
    if len(answers) != len(questions) or len(output.splitlines()) != len(questions):
        raise RuntimeError("the batch's output does not hold every item exactly once")
    return len(answers)


def print_addresses(cluster):
    print("\nLeft running:")
    for name, address in cluster.addresses.items():
        print(f"  {name}: http://{address}")
    print(f"  emulated platform: http://{cluster.control}")
    print(f"  logs: {cluster.work_dir}")
    print(f"Try: build/bin/chalkshedctl nodes --node={cluster.first_node()}")
    pids = " ".join(str(process.pid) for process in cluster.processes.values())
    print(f"Stop: kill {pids}")


def demonstrate(cluster):
    began = time.monotonic()
    print("Starting the emulated platform and workers, and three nodes ...")
    cluster.start()
    print("Applying the configuration of examples/" + EXAMPLE + " ...")
    cluster.apply_configuration()
    nodes = list(cluster.addresses.values())
    for address in nodes:
        clusters.wait_until("the nodes' view of all workers",
                            lambda at=address: cluster.live_workers(at) >= cluster.workers)
    text = plain_text.PlainText(SEED)
    question = text.prompt()
    print(f"\nStreamed answer through node-1 to: {question}")
    pieces = show_stream(cluster, nodes[0], question)
    print(f"\nBatch of {BATCH_ITEMS} items, sent to node-2, read from node-3:")
    items = run_batch(cluster, nodes[1], nodes[2], [text.prompt() for _ in range(BATCH_ITEMS)])
    seconds = time.monotonic() - began
    print(f"\nDone: {pieces} streamed pieces, {items} batch items, {seconds:.1f} s.")


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--keep", action="store_true",
                        help="leave everything running and print the addresses")
    parser.add_argument("--port-offset", type=int, default=0,
                        help="added to every port of the example")
    arguments = parser.parse_args()
    clusters.end_on_termination()
    cluster = clusters.Cluster(EXAMPLE, arguments.port_offset, clusters.ROOT / "out" / "demo")
    left_running = False
    try:
        demonstrate(cluster)
        if arguments.keep:
            print_addresses(cluster)
            left_running = True
            return 0
        codes = cluster.stop()
        if any(codes.values()):
            print(f"demo: a process ended with an error: {codes}", file=sys.stderr)
            return 1
        return 0
    except Exception as error:  # pylint: disable=broad-except
        print(f"demo: {error}", file=sys.stderr)
        cluster.show_logs()
        return 1
    finally:
        if not left_running:
            cluster.kill_all()


if __name__ == "__main__":
    sys.exit(main())

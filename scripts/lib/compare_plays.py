"""Plays days of a deployment on several seeds with one or two checkouts and compares their worth.

Each play is one `run` of the users' bench. The plays of the checkouts are interleaved, so that both
meet the same load of this machine. Prints for each day the mean worth of each checkout with its
standard error, and what the callers met: late and unserved requests by kind, items run again.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import subprocess
import sys
import tempfile
import tomllib


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--site", required=True, action="append", help="a site file; may be repeated")
    parser.add_argument("--checkout", required=True, action="append", help="checkout; the first is the base")
    parser.add_argument("--days", default="", help="names separated by commas; default: all days with trouble")
    parser.add_argument("--seeds", type=int, default=4, help="plays of each day")
    parser.add_argument("--first-seed", type=int, default=101)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", required=True, help="goes into the journal")
    parser.add_argument("--save", help="file that takes all reports, as JSON lines")
    return parser.parse_args()


def days_of(site, names):
    with open(site, "rb") as file:
        days = tomllib.load(file)["day"]
    if names:
        wanted = names.split(",")
        return [day["name"] for day in days if day["name"] in wanted or "all" in wanted]
    return [day["name"] for day in days if day["slot"] != "quiet"]


def play(arguments, checkout, site, day, seed):
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [arguments.bench, "run", site, day, "--seed", str(seed), "--jobs", "1"]
        command += ["--report", report.name, "--why", arguments.why]
        done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=False)
        try:
            return json.load(open(report.name, encoding="utf-8"))
        except ValueError:
            print(f"no report: {checkout} {day} {seed}: {done.stdout[-300:]}{done.stderr[-300:]}", file=sys.stderr)
            return None


def price_of(report, name):
    return next((price[2] for price in report["prices"] if price[0] == name), 0.0)


def figures_of(report):
    figures = {"worth": report["G"], "day": report["served"]}
    figures["window"] = dict((part[0], part[2]) for part in report["parts"]).get("worst windows", 0.0)
    for kind in report["classes"]:
        figures[f"{kind['name']}"] = kind["worth"]
    figures["again"] = price_of(report, "worth of items run again")
    figures["prices"] = sum(price[2] for price in report["prices"])
    return figures


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, 0.0
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def print_site(site, days, checkouts, results):
    print(f"== {pathlib.Path(site).stem}")
    totals = {checkout: [] for checkout in checkouts}
    for day in days:
        for checkout in checkouts:
            plays = [figures_of(r) for r in results[checkout, site, day] if r is not None]
            if not plays:
                continue
            parts = []
            for name in plays[0]:
                mean, error = mean_and_error([figures.get(name, 0.0) for figures in plays])
                parts.append(f"{name} {mean:.3f}" + (f"±{error:.3f}" if name == "worth" else ""))
            broken = sum(1 for r in results[checkout, site, day] if r and (r["breaks"] or r["fault"]))
            label = pathlib.Path(checkout).name
            print(f"{day:10} {label:10} " + "  ".join(parts) + (f"  RULE BROKEN in {broken}" if broken else ""))
            totals[checkout].append([figures["worth"] for figures in plays])
    for checkout in checkouts:
        means = [mean_and_error(values) for values in totals[checkout]]
        if means:
            mean = sum(m for m, _ in means) / len(means)
            error = math.sqrt(sum(e * e for _, e in means)) / len(means)
            print(f"{'mean':10} {pathlib.Path(checkout).name:10} worth {mean:.4f}±{error:.4f} over {len(means)} days")


def print_pairs(sites, checkouts, days, results):
    """The difference from the base over plays of the same day and seed: what both share cancels out."""
    for checkout in checkouts[1:]:
        gains = []
        for site in sites:
            for day in days[site]:
                for base, other in zip(results[checkouts[0], site, day], results[checkout, site, day]):
                    if base is not None and other is not None:
                        gains.append(other["G"] - base["G"])
        if gains:
            mean, error = mean_and_error(gains)
            print(f"{pathlib.Path(checkout).name} over {pathlib.Path(checkouts[0]).name}: {mean:+.4f}±{error:.4f} worth in {len(gains)} pairs")


def main():
    arguments = parse_arguments()
    for checkout in arguments.checkout:
        subprocess.run([arguments.bench, "build"], cwd=checkout, check=True, capture_output=True)
    results = {}
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        pending = []
        for site in arguments.site:
            for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
                for day in days_of(site, arguments.days):
                    for checkout in arguments.checkout:
                        future = pool.submit(play, arguments, checkout, site, day, seed)
                        pending.append((checkout, site, day, seed, future))
        for checkout, site, day, seed, future in pending:
            report = future.result()
            results.setdefault((checkout, site, day), []).append(report)
            if arguments.save and report is not None:
                with open(arguments.save, "a", encoding="utf-8") as file:
                    json.dump({"checkout": checkout, "site": site, "day": day, "seed": seed, "report": report}, file)
                    file.write("\n")
    days = {site: days_of(site, arguments.days) for site in arguments.site}
    for site in arguments.site:
        print_site(site, days[site], arguments.checkout, results)
        print_pairs([site], arguments.checkout, days, results)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Runs the scenarios of section 1.5 of the design page with real processes.

    bench/run.py SCENARIO [--deployment NAME] [--depth N] [--policy-off]
                 [--seeds 1,2,3,4,5] [--json FILE]

Each scenario prints one line for each seed and a summary with the median,
lowest and highest value.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict

from deployments import Deployment, callers
from fleet import (BENCH, Fleet, FleetError, cpu_seconds, http, manifest,
                   resident_mb, run_load)

DURATION_S = 6.0
WARM_UP_S = 2.0
RETRIES = {"retry": "hard", "max_tries": 4, "retry_pause_ms": 50}


def load(deployment, streams, seed, name, duration=DURATION_S, **more):
    spec = {"seed": seed, "duration_s": duration, "measure_from_s": WARM_UP_S,
            "id_prefix": f"{name}-{seed}", **RETRIES, **more,
            "streams": streams}
    return run_load(spec, deployment.fleet.work, f"{name}-{seed}")


def settle(deployment):
    """Lets queues, throttles and windows of earlier runs pass."""
    time.sleep(2.0)
    deployment.fleet.reset_upstreams()


def wasted_share(work, ids, first=0):
    """Share of the upstreams' own work, without the time spent waiting for
    child calls, that was done for requests that failed. Counts the requests
    from number `first` on, in order of arrival."""
    total = wasted = 0
    for _, entry in work:
        if int(entry["request"].rsplit("-", 1)[1]) < first:
            continue
        total += entry["own_us"]
        if ids.get(entry["request"]) != "ok":
            wasted += entry["own_us"]
    return wasted / total if total else 0.0


def most_attempts(work):
    """Highest number of starts of one request over all upstreams."""
    starts = defaultdict(int)
    for _, entry in work:
        starts[entry["request"]] += entry["started"]
    return max(starts.values(), default=0)


# -- Scenarios --------------------------------------------------------------


def goodput(deployment, seed):
    out = {}
    for factor in (1, 2, 5, 10):
        settle(deployment)
        result, ids = load(
            deployment, [deployment.stream(factor * deployment.capacity)],
            seed, f"goodput{factor}")
        work = deployment.fleet.work_log()
        out[f"goodput_{factor}x"] = result["goodput_per_s"]
        out[f"of_nominal_{factor}x"] = (
            result["goodput_per_s"] / deployment.capacity)
        out[f"wasted_{factor}x"] = wasted_share(work, ids)
        out[f"wasted_after_2s_{factor}x"] = wasted_share(
            work, ids, WARM_UP_S * factor * deployment.capacity)
        out[f"p99_ms_{factor}x"] = result["latency_ms"].get("p99", 0)
        out[f"late_p99_ms_{factor}x"] = result["client_lateness_ms"]["p99"]
        out[f"tries_per_request_{factor}x"] = (
            result["client_tries"] / max(1, result["offered"]))
    out["ratio_10x_to_best"] = out["goodput_10x"] / max(
        out[f"goodput_{n}x"] for n in (1, 2, 5, 10))
    return out


def recovery(deployment, seed):
    """Slow deep service, surge and hard retries at once, for 3 s."""
    settle(deployment)
    fleet = deployment.fleet
    base = 0.6 * deployment.capacity
    trigger_from, trigger_to, duration = 4.0, 7.0, 15.0
    streams = [
        deployment.stream(base, name="base"),
        deployment.stream(4 * deployment.capacity, caller="caller-2",
                          name="surge", from_s=trigger_from, to_s=trigger_to),
    ]
    spec = {"seed": seed, "duration_s": duration, "measure_from_s": 0.0,
            "id_prefix": f"recovery-{seed}", **RETRIES, "streams": streams}
    path = fleet.work / f"recovery-{seed}.json"
    path.write_text(json.dumps(spec))
    start = time.monotonic()
    with subprocess.Popen([str(BENCH), "load", "--spec", str(path)],
                          stdout=subprocess.PIPE, text=True) as process:
        time.sleep(max(0, start + trigger_from - time.monotonic()))
        fleet.set_upstreams(deployment.slow, service_ms=4 * deployment.slow_ms)
        time.sleep(max(0, start + trigger_to - time.monotonic()))
        fleet.set_upstreams(deployment.slow, service_ms=deployment.slow_ms)
        ended = time.monotonic() - start
        result = json.loads(process.communicate(timeout=60)[0])
    return {**recovery_time(result, trigger_from, ended),
            "late_p99_ms": result["client_lateness_ms"]["p99"]}


def recovery_time(result, trigger_from, trigger_to):
    """Time from the end of the trigger until, over one second, 99% of the
    former share of started requests succeed. Shares are compared and not
    counts, since the arrivals are random."""
    offered = result["offered_timeline"]
    succeeded = result["ok_by_start_timeline"]
    succeeded += [0] * (len(offered) - len(succeeded))

    def share(low, high):
        return sum(succeeded[low:high]) / max(1, sum(offered[low:high]))

    before = share(10, int(trigger_from * 10))
    first = int(trigger_to * 10) + 1
    for slot in range(first, len(offered) - 10):
        if share(slot, slot + 10) >= 0.99 * before:
            return {"recovery_s": slot / 10 - trigger_to,
                    "success_before": before,
                    "success_in_trigger": share(int(trigger_from * 10), first)}
    return {"recovery_s": float("inf"), "success_before": before,
            "success_in_trigger": share(int(trigger_from * 10), first)}


def importance(deployment, seed):
    """Important demand of 0.4 of the capacity beside 5 times it of others."""
    settle(deployment)
    capacity, slow = deployment.capacity, deployment.slow
    result, _ = load(deployment, [
        deployment.stream(0.4 * capacity, kind="high", service=slow,
                          name="high"),
        deployment.stream(1.0 * capacity, caller="caller-2", kind="normal",
                          service=slow, name="normal"),
        deployment.stream(4.0 * capacity, caller="caller-3", kind="low",
                          service=slow, name="low"),
    ], seed, "importance")
    classes = result["by_class"]
    return {"success_high": classes["high"]["success_rate"],
            "success_normal": classes["normal"]["success_rate"],
            "success_low": classes["low"]["success_rate"],
            "goodput_of_nominal": result["goodput_per_s"] / capacity,
            "p99_high_ms": classes["high"]["latency_ms"].get("p99", 0)}


def fairness(deployment, seed):
    """Five parties; four want 1.2 times their share, one 10 times."""
    settle(deployment)
    share = deployment.capacity / 5
    names = [name for name, _ in callers(5)]
    result, _ = load(deployment, [
        deployment.stream(share * (10 if n == 0 else 1.2), caller=name,
                          name=name, jain=True)
        for n, name in enumerate(names)
    ], seed, "fairness")
    goodputs = [result["by_caller"][name]["goodput_per_s"] for name in names]
    return {"jain": result["jain"],
            "greedy_of_share": goodputs[0] / share,
            "lowest_of_share": min(goodputs[1:]) / share,
            "goodput_of_nominal": sum(goodputs) / deployment.capacity}


def attempts(deployment, seed):
    """Starts at upstreams per request, with one target killed and the slow
    service twice as slow; clients do not retry, so that every start beyond
    the calls of the tree is the system's own."""
    settle(deployment)
    fleet = deployment.fleet
    victim = fleet.services[deployment.slow][0]
    rate = 1.5 * deployment.capacity
    spec = {"seed": seed, "duration_s": DURATION_S, "retry": "none",
            "id_prefix": f"attempts-{seed}",
            "streams": [deployment.stream(rate)]}
    path = fleet.work / f"attempts-{seed}.json"
    path.write_text(json.dumps(spec))
    fleet.set_upstreams(deployment.slow, service_ms=2 * deployment.slow_ms)
    with subprocess.Popen([str(BENCH), "load", "--spec", str(path)],
                          stdout=subprocess.PIPE, text=True) as process:
        time.sleep(DURATION_S / 2)
        victim.upstream_process.kill()
        victim.upstream_process.wait()
        result = json.loads(process.communicate(timeout=60)[0])
    work = fleet.work_log()
    fleet.set_upstreams(deployment.slow, service_ms=deployment.slow_ms)
    fleet.processes = [(name, process) for name, process in fleet.processes
                       if process is not victim.upstream_process]
    _, slots, millis, _ = deployment.services[-1]
    fleet.start_upstream(victim, deployment.slow, "--slots", slots,
                         "--service-ms", millis, "--seed", seed)
    fleet.wait_members(len(fleet.targets))
    return {"most_attempts": most_attempts(work),
            "bound": deployment.depth + 3,
            "success_rate": result["success_rate"]}


def latency(_, seed, work_dir):
    """Added latency against the direct call in the same run, through one node
    (entry and target) and through two, at moderate load."""
    with Fleet(work_dir) as fleet:
        fleet.start_store()
        fleet.add("echo", "east", "east-1")
        fleet.add(None, "east", "east-1")
        start_plain(fleet, service_ms=1)
        target, entry = fleet.targets
        common = {"service": "echo", "class": "normal", "rate": 200,
                  "caller": "caller-1"}
        spec = {"seed": seed, "duration_s": 8.0, "measure_from_s": 1.0,
                "retry": "none", "streams": [
                    {**common, "caller": "", "name": "direct",
                     "path": "/work", "nodes": [target.upstream]},
                    {**common, "name": "one", "nodes": [target.caller]},
                    {**common, "name": "two", "nodes": [entry.caller]}]}
        result, _ = run_load(spec, fleet.work, "latency")
    out = {}
    times = {name: entry["latency_ms"]
             for name, entry in result["by_class"].items()}
    for name in ("one", "two"):
        for part in ("p50", "p99"):
            out[f"added_{name}_{part}_ms"] = (
                times[name][part] - times["direct"][part])
    out["direct_p50_ms"] = times["direct"]["p50"]
    out["direct_p99_ms"] = times["direct"]["p99"]
    out["late_p99_ms"] = result["client_lateness_ms"]["p99"]
    return out


def start_plain(fleet, service_ms, slots=64):
    for target in fleet.targets:
        fleet.start_node(target)
    fleet.wait_live()
    fleet.publish(manifest([("echo", "normal", 5, True, 1000)], callers()))
    fleet.wait_ready()
    for target in fleet.services["echo"]:
        fleet.start_upstream(target, "echo", "--service-ms", service_ms,
                             "--slots", slots)
    fleet.wait_members(len(fleet.services["echo"]))


def idle(_, seed, work_dir):
    """Processor time of a node with 950 idle keep-alive connections."""
    del seed
    with Fleet(work_dir) as fleet:
        fleet.start_store()
        fleet.add("echo", "east", "east-1")
        start_plain(fleet, service_ms=1)
        target = fleet.targets[0]
        pid = target.node_process.pid
        time.sleep(1)
        before = cpu_seconds(pid)
        time.sleep(5)
        without = (cpu_seconds(pid) - before) / 5
        with open_connections(target, 950, 9000) as process:
            time.sleep(2.5)
            before = cpu_seconds(pid)
            time.sleep(5)
            with_idle = (cpu_seconds(pid) - before) / 5
            memory = resident_mb(pid)
            result = json.loads(process.communicate(timeout=30)[0])
    return {"core_percent_without": 100 * without,
            "core_percent_950_idle": 100 * with_idle,
            "resident_mb": memory, "answered": result["answered"]}


def open_connections(target, count, idle_ms):
    return subprocess.Popen(
        [str(BENCH), "connections", "--node", target.caller, "--count",
         str(count), "--idle-ms", str(idle_ms), "--caller", "caller-1",
         "--service", "echo", "--class", "normal"],
        stdout=subprocess.PIPE, text=True)


def burst(_, seed, work_dir):
    """300 connections opened at once, with a request on each."""
    del seed
    with Fleet(work_dir) as fleet:
        fleet.start_store()
        fleet.add("echo", "east", "east-1")
        start_plain(fleet, service_ms=1)
        with open_connections(fleet.targets[0], 300, 0) as process:
            result = json.loads(process.communicate(timeout=30)[0])
    return result


def throughput(_, seed, work_dir):
    """Processor time of a node for each call, from which the calls that one
    core carries follow."""
    rate = 2000
    with Fleet(work_dir) as fleet:
        fleet.start_store()
        fleet.add("echo", "east", "east-1")
        start_plain(fleet, service_ms=1)
        target = fleet.targets[0]
        pid = target.node_process.pid
        before = cpu_seconds(pid)
        result, _ = run_load(
            {"seed": seed, "duration_s": 5.0, "retry": "none", "streams": [
                {"caller": "caller-1", "service": "echo", "class": "normal",
                 "rate": rate, "nodes": [target.caller]}]},
            fleet.work, "throughput")
        used = cpu_seconds(pid) - before
    return {"calls_per_s": result["goodput_per_s"],
            "success_rate": result["success_rate"],
            "node_core_share": used / 5.0,
            "us_per_call": used / max(1, result["ok"]) * 1e6,
            "calls_per_core_s": result["ok"] / max(used, 0.01)}


WITH_DEPLOYMENT = {"goodput": goodput, "recovery": recovery,
                   "importance": importance, "fairness": fairness,
                   "attempts": attempts}
ALONE = {"latency": latency, "idle": idle, "burst": burst,
         "throughput": throughput}


# -- Command line -----------------------------------------------------------


def summarise(rows):
    print(f"{'figure':32} {'median':>10} {'lowest':>10} {'highest':>10}")
    for key in rows[0]:
        values = [row[key] for row in rows if key in row]
        print(f"{key:32} {statistics.median(values):10.4g} "
              f"{min(values):10.4g} {max(values):10.4g}")


def run_rows(options, work):
    settings = {"policy_off": True} if options.policy_off else None
    seeds = [int(seed) for seed in options.seeds.split(",")]
    if options.scenario in ALONE:
        for seed in seeds:
            yield seed, ALONE[options.scenario](None, seed, f"{work}/{seed}")
        return
    with Deployment(options.deployment, work, options.depth,
                    settings) as deployment:
        for seed in seeds:
            yield seed, WITH_DEPLOYMENT[options.scenario](deployment, seed)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=[*WITH_DEPLOYMENT, *ALONE])
    parser.add_argument("--deployment", default="tapis")
    parser.add_argument("--depth", type=int, default=None)
    parser.add_argument("--policy-off", action="store_true")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--json", default="")
    options = parser.parse_args()
    rows = []
    with tempfile.TemporaryDirectory(prefix="amaranthgap-bench-") as work:
        try:
            for seed, row in run_rows(options, work):
                rows.append(row)
                figures = " ".join(f"{key}={value:.4g}"
                                   for key, value in row.items())
                print(f"seed={seed} {figures}", flush=True)
        except FleetError as error:
            print(f"run.py: {error}", file=sys.stderr)
            return 1
    summarise(rows)
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"arguments": vars(options), "rows": rows}, file,
                      indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""A small fleet in three regions under overload; see scripts/demo.sh.

Nodes, upstream stand-ins and the store stand-in are separate processes on the
loopback device. Requests of several hops go through them; for a few seconds
one service is offered several times its capacity.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "bench"))

# pylint: disable=wrong-import-position
from fleet import NODE, Fleet, FleetError, manifest, run_load  # noqa: E402

# Service, slots of each target, service time in ms, child call.
SERVICES = [
    ("billing", 16, 5, "booking"),
    ("booking", 16, 5, "driver-rounds"),
    ("driver-rounds", 4, 40, None),
]
REGIONS = ["finistere", "morbihan", "ille"]
# Recovery never takes longer; see section 1.5 of the design page.
RECOVERY_S = 3
CAPACITY = 4 * len(REGIONS) * 1000 / 40
CLASSES = [
    ("billing", "invoice", 8, True, 1000),
    ("booking", "search", 5, True, 1000),
    ("booking", "reserve", 7, False, 1000),
    ("driver-rounds", "next-stop", 5, True, 1000),
    ("driver-rounds", "statistics", 1, True, 1000),
]
CALLERS = [("accounting", "accounting"), ("rider-app", "riders"),
           ("kiosks", "brest")]
CHILD_CLASS = {"booking": "search", "driver-rounds": "next-stop"}


def say(text):
    print(f"demo: {text}", flush=True)


def start(fleet):
    fleet.start_store()
    for name, *_ in SERVICES:
        for region in REGIONS:
            fleet.add(name, region, f"{region}-1")
    for target in fleet.targets:
        fleet.start_node(target)
    fleet.wait_live()
    say(f"store and {len(fleet.targets)} nodes run in {len(REGIONS)} regions")
    say("publish: " + fleet.publish(manifest(CLASSES, CALLERS), "demo"))
    fleet.wait_ready()
    for name, slots, millis, child in SERVICES:
        for target in fleet.services[name]:
            arguments = ["--slots", slots, "--service-ms", millis]
            if child:
                arguments += ["--child", f"{child}:{CHILD_CLASS[child]}"]
            fleet.start_upstream(target, name, *arguments)
    fleet.wait_members(len(fleet.targets))
    say("manifest in force, upstreams announced at every node")


def stream(fleet, caller, service, kind, rate, **more):
    return {"caller": caller, "service": service, "class": kind, "rate": rate,
            "deadline_ms": 1000, "nodes": [t.caller for t in fleet.targets],
            **more}


def show(result):
    print(f"  {'class':26} {'offered':>8} {'served':>8} {'share':>7} "
          f"{'p50 ms':>8} {'p99 ms':>8}")
    for name, figures in sorted(result["by_class"].items()):
        latency = figures["latency_ms"]
        print(f"  {name:26} {figures['offered']:8} {figures['ok']:8} "
              f"{figures['success_rate']:7.1%} {latency.get('p50', 0):8.1f} "
              f"{latency.get('p99', 0):8.1f}")
    refusals = {reason: count for reason, count in result["reasons"].items()
                if reason != "none"}
    print("  refusals by reason: " + (", ".join(
        f"{reason} {count}" for reason, count in sorted(
            refusals.items(), key=lambda item: -item[1])) or "none"))
    others = {end: count for end, count in result["ends"].items()
              if end != "ok"}
    print("  requests not served: " + (", ".join(
        f"{end} {count}" for end, count in sorted(others.items())) or "none"),
        flush=True)


def normal_load(fleet, seed):
    return run_load({"seed": seed, "duration_s": 4, "retry": "honour",
                     "id_prefix": f"calm{seed}", "streams": [
                         stream(fleet, "accounting", "billing", "invoice", 60),
                         stream(fleet, "rider-app", "booking", "reserve", 20,
                                keyed=True),
                         stream(fleet, "kiosks", "driver-rounds", "statistics",
                                20)]}, fleet.work, f"calm{seed}")[0]


def overload(fleet):
    return run_load({"seed": 2, "duration_s": 6, "retry": "hard",
                     "max_tries": 4, "retry_pause_ms": 20,
                     "id_prefix": "surge", "streams": [
                         stream(fleet, "accounting", "billing", "invoice", 60),
                         stream(fleet, "rider-app", "booking", "reserve", 20,
                                keyed=True),
                         stream(fleet, "kiosks", "driver-rounds", "statistics",
                                4 * CAPACITY)]}, fleet.work, "surge")[0]


def explain(fleet):
    """Shows what an entry node did with one request that was not run."""
    for line in (fleet.work / "surge.ids").read_text().splitlines():
        request, outcome = line.split(" ", 1)
        if outcome != "not-run":
            continue
        for target in fleet.targets:
            steps = subprocess.run(
                [str(NODE), "explain", request, "--node", target.local],
                capture_output=True, text=True, check=False).stdout
            if "throttled" in steps:
                say(f"amaranthgap explain {request} --node {target.local}")
                print("  " + "\n  ".join(steps.strip().splitlines()[:6]))
                return


def check(calm, surge, after):
    if calm["success_rate"] < 0.99:
        raise FleetError("requests failed without overload")
    if surge["by_class"]["billing/invoice"]["success_rate"] < 0.9:
        raise FleetError("important requests failed under overload")
    if after["success_rate"] < 0.99:
        raise FleetError("requests failed after the overload")


def main():
    begin = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="amaranthgap-demo-") as work:
        try:
            with Fleet(work) as fleet:
                start(fleet)
                say("4 s of normal load: billing -> booking -> driver-rounds, "
                    "and keyed bookings")
                calm = normal_load(fleet, 1)
                show(calm)
                say(f"6 s of overload: statistics ask driver-rounds for 4 "
                    f"times its capacity of {CAPACITY:.0f}/s, clients retry "
                    "hard")
                surge = overload(fleet)
                show(surge)
                explain(fleet)
                time.sleep(RECOVERY_S)
                say(f"normal load again, {RECOVERY_S} s after the overload")
                after = normal_load(fleet, 3)
                show(after)
                fleet.check_alive()
                check(calm, surge, after)
                say("stopping all processes")
        except FleetError as error:
            print(f"demo: failed: {error}", file=sys.stderr)
            return 1
    say(f"done in {time.monotonic() - begin:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())

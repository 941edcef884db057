"""The two deployments of section 1.3 of the design page, scaled to one machine.

Regions, data centres, services, targets for each service and slots are those
of the deployments. Service times are chosen so that the slow service saturates
at 160 to 250 requests a second (slots x targets / service time): ten times
that, with the clients' retries, is what one machine can offer. Latencies
between regions are not imitated: all traffic stays on the loopback device.
"""

from fleet import Fleet, FleetContext, manifest

# Entry service, then each service with its child; the last one is slow.
DEPLOYMENTS = {
    "tapis": {
        "regions": ["finistere", "morbihan", "ille"],
        "services": [
            # name, slots, service time in ms, child
            ("billing", 35, 10, "booking"),
            ("booking", 35, 10, "tracking"),
            ("tracking", 35, 10, "driver-rounds"),
            ("driver-rounds", 8, 200, None),
        ],
        "targets": 6,
        "timeout_ms": 1500,
    },
    "kitaguni": {
        "regions": ["east", "north", "south"],
        "services": [
            ("alarm-board", 140, 10, "crew-desk"),
            ("crew-desk", 140, 10, "log-archive"),
            ("log-archive", 140, 10, "pit-readings"),
            ("pit-readings", 25, 600, None),
        ],
        "targets": 6,
        "timeout_ms": 4000,
    },
    "chain13": {
        "regions": ["north", "south"],
        "services": [
            *[(f"s{n:02}", 64, 5, f"s{n + 1:02}") for n in range(1, 13)],
            ("s13", 16, 200, None),
        ],
        "targets": 2,
        "timeout_ms": 1500,
    },
}

CLASSES = [("high", 8), ("normal", 5), ("low", 1)]


def callers(count=6):
    return [(f"caller-{n}", f"party-{n}") for n in range(1, count + 1)]


class Deployment(FleetContext):
    """A running deployment; every service has the classes high, normal and
    low, and each request walks the chain down with the class `normal`, or
    `high` and `low` in services that are called directly."""

    def __init__(self, name, work, depth=None, settings=None, exponential=True):
        self.plan = DEPLOYMENTS[name]
        services = self.plan["services"]
        self.services = services[-depth:] if depth else services
        self.entry = self.services[0][0]
        self.slow = self.services[-1][0]
        self.slow_ms = self.services[-1][2]
        self.timeout_ms = self.plan["timeout_ms"]
        self.capacity = (self.services[-1][1] * self.plan["targets"] * 1000 /
                         self.slow_ms)
        self.depth = len(self.services)
        self.exponential = exponential
        self.fleet = Fleet(work, settings)

    def _start(self):
        fleet = self.fleet
        fleet.start_store()
        regions = self.plan["regions"]
        for name, *_ in self.services:
            for n in range(self.plan["targets"]):
                region = regions[n % len(regions)]
                centre = f"{region}-{n // len(regions) % 2 + 1}"
                fleet.add(name, region, centre)
        for target in fleet.targets:
            fleet.start_node(target)
        fleet.wait_live()
        fleet.publish(manifest(
            [(name, kind, importance, True, self.timeout_ms)
             for name, *_ in self.services for kind, importance in CLASSES],
            callers(), {"max_retries_per_request": 3}))
        fleet.wait_ready()
        seed = 1
        for name, slots, millis, child in self.services:
            for target in fleet.services[name]:
                arguments = ["--slots", slots, "--service-ms", millis,
                             "--seed", seed]
                seed += 1
                if self.exponential:
                    arguments.append("--exponential")
                if child:
                    arguments += ["--child", f"{child}:normal"]
                fleet.start_upstream(target, name, *arguments)
        fleet.wait_members(len(fleet.targets))

    def nodes(self):
        return [target.caller for target in self.fleet.targets]

    def stream(self, rate, caller="caller-1", kind="normal", service=None,
               **more):
        service = service or self.entry
        return {"caller": caller, "service": service, "class": kind,
                "rate": rate, "deadline_ms": self.timeout_ms,
                "nodes": self.nodes(),
                **more}

"""Starts a store stand-in, nodes and upstream stand-ins as separate processes
on loopback ports, and ends them by process id."""

import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = Path(os.environ.get("AMARANTHGAP_BUILD", ROOT / "build"))
NODE = BUILD / "app" / "amaranthgap"
STANDIN = BUILD / "standins" / "amaranthgap-standin"
BENCH = BUILD / "bench" / "amaranthgap-bench"
INNER_KEY = "bench-inner-key-0123456789"


def _interrupt(*_):
    raise KeyboardInterrupt


# A terminated run still ends the processes that it has started.
signal.signal(signal.SIGTERM, _interrupt)


class FleetError(RuntimeError):
    """The fleet could not be brought up."""


class Ports:
    """Hands out ports that are free for TCP and UDP, below the range from
    which the kernel takes ports of outgoing connections."""

    def __init__(self):
        self.next = random.SystemRandom().randrange(20000, 28000)

    def take(self):
        while self.next < 32000:
            self.next += 1
            if self._is_free(self.next):
                return self.next
        raise FleetError("no free port between 20000 and 32000")

    @staticmethod
    def _is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    return False
        return True

    def address(self):
        return f"127.0.0.1:{self.take()}"


def http(method, address, path, body=None, timeout=2.0):
    """Returns status and body of one request; (0, error) without an answer."""
    data = json.dumps(body).encode() if body is not None else None
    if data is None and method in ("POST", "PUT"):
        data = b""
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


class Target:
    """A node and, unless it is an entry node only, its upstream."""

    def __init__(self, name, region, data_centre, ports):
        self.name = name
        self.region = region
        self.data_centre = data_centre
        self.caller = ports.address()
        self.local = ports.address()
        self.peer = ports.address()
        self.peer_listen = self.peer
        self.store = None
        self.upstream = ports.address()
        self.control = ports.address()
        self.node_process = None
        self.upstream_process = None


class FleetContext:
    """Starts its fleet on entry; stops it on exit, and when the start fails."""

    fleet: "Fleet"

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.fleet.stop()
            raise
        return self

    def __exit__(self, *_):
        self.fleet.stop()

    def _start(self):
        raise NotImplementedError


class Fleet:
    def __init__(self, work, settings=None):
        self.work = Path(work)
        self.work.mkdir(parents=True, exist_ok=True)
        self.ports = Ports()
        self.extra = settings or {}
        self.store = self.ports.address()
        self.store_control = self.ports.address()
        self.relay_control = None
        self.targets = []
        self.services = {}
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    # -- Processes ----------------------------------------------------------

    def spawn(self, name, command):
        log = open(self.work / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(part) for part in command], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append((name, process))
        return process

    def start_store(self, *arguments):
        self.spawn("store", [STANDIN, "store", "--listen", self.store,
                             "--control", self.store_control, *arguments])

    def start_relay(self):
        """Puts a relay between the regions of the declared targets, and between
        them and the store. Comes before the start of the store and the nodes.

        Each region has loopback addresses of its own, by which the relay knows
        where a connection or datagram comes from. The store's clients use the
        host's address, so each region reaches the store by its own port."""
        self.relay_control = self.ports.address()
        regions = sorted({target.region for target in self.targets})
        prefix = {region: f"127.{10 + n}." for n, region in enumerate(regions)}
        prefix["store"] = "127.9."
        self.store = f"{prefix['store']}0.1:{self.ports.take()}"
        command = [STANDIN, "relay", "--control", self.relay_control]
        for group, text in prefix.items():
            command += ["--group", f"{group}={text}"]
        by_region = {region: self.ports.address() for region in regions}
        for region, address in by_region.items():
            command += ["--route", f"{address}={self.store}@{region}"]
        for target in self.targets:
            target.store = by_region[target.region]
            target.peer_listen = (
                f"{prefix[target.region]}0.1:{self.ports.take()}")
            command += ["--route", f"{target.peer}={target.peer_listen}"]
        self.spawn("relay", command)

    def relay(self, command, group):
        """Cuts a group off (`cut`) or reconnects it (`reconnect`)."""
        status, text = http(
            "POST", self.relay_control, f"/{command}", {"group": group})
        if status != 200:
            raise FleetError(f"relay {command} {group}: {status} {text}")

    def add(self, service, region, data_centre):
        """Declares one target; service None makes an entry node only."""
        count = len(self.services.get(service, []))
        name = f"{service or 'entry'}-{count + 1}"
        target = Target(name, region, data_centre, self.ports)
        self.targets.append(target)
        self.services.setdefault(service, []).append(target)
        return target

    def start_node(self, target, **settings):
        seeds = [other.peer for other in self.targets[:3]
                 if other is not target]
        values = {
            "cluster": "bench", "node_id": target.name,
            "region": target.region, "data_centre": target.data_centre,
            "caller_address": target.caller, "local_address": target.local,
            "peer_address": target.peer,
            "peer_listen_address": target.peer_listen,
            "store_address": target.store or self.store,
            "static_peers": seeds, "inner_key": INNER_KEY,
            "log_level": "warning", "drain_timeout_ms": 10000,
            **self.extra, **settings,
        }
        path = self.work / f"{target.name}.toml"
        path.write_text("".join(f"{key} = {json.dumps(value)}\n"
                                for key, value in values.items()))
        target.node_process = self.spawn(
            f"node-{target.name}", [NODE, "node", path])

    def start_upstream(self, target, service, *arguments):
        target.upstream_process = self.spawn(
            f"upstream-{target.name}",
            [STANDIN, "upstream", "--service", service,
             "--listen", target.upstream, "--control", target.control,
             "--node", target.local, *arguments])

    def stop(self):
        for _, process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 4
        for _, process in self.processes:
            try:
                process.wait(max(0.05, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def check_alive(self):
        for name, process in self.processes:
            if process.poll() is not None:
                log = (self.work / f"{name}.log").read_text(errors="replace")
                raise FleetError(
                    f"{name} ended with status {process.returncode}: "
                    f"{log.strip()[-400:]}")

    # -- State --------------------------------------------------------------

    def publish(self, manifest, publisher="bench"):
        path = self.work / "manifest.toml"
        path.write_text(manifest)
        done = subprocess.run(
            [str(NODE), "publish", str(path), "--store", self.store,
             "--publisher", publisher, "--node", self.targets[0].local],
            capture_output=True, text=True, timeout=30, check=False)
        if done.returncode != 0:
            raise FleetError(f"publish failed: {done.stdout}{done.stderr}")
        return done.stdout.strip()

    def wait_for(self, what, check, timeout=15.0):
        deadline = time.monotonic() + timeout
        while not check():
            self.check_alive()
            if time.monotonic() > deadline:
                raise FleetError(f"timed out after {timeout} s: {what}")
            time.sleep(0.1)

    def wait_live(self):
        self.wait_for("all nodes answer", lambda: all(
            http("GET", t.local, "/live")[0] == 200 for t in self.targets))

    def wait_ready(self):
        self.wait_for("all nodes are ready", lambda: all(
            http("GET", t.local, "/ready")[0] == 200 for t in self.targets))

    def status(self, target):
        code, text = http("GET", target.local, "/status")
        return json.loads(text) if code == 200 else {}

    def wait_members(self, expected):
        """Waits until every node sees `expected` warm members with service."""
        def check():
            for target in self.targets:
                members = self.status(target).get("members", [])
                warm = [m for m in members
                        if m.get("service") and m.get("state") == "warm"]
                if len(warm) < expected:
                    return False
            return True
        self.wait_for(f"every node sees {expected} targets", check, 30)

    def set_upstreams(self, service, **values):
        for target in self.services[service]:
            http("POST", target.control, "/set", values)

    def reset_upstreams(self):
        for target in self.targets:
            if target.upstream_process:
                http("POST", target.control, "/reset")

    def work_log(self, services=None):
        """Returns work of all upstreams as a list of (service, entry)."""
        out = []
        for service, targets in self.services.items():
            if service is None or (services and service not in services):
                continue
            for target in targets:
                code, text = http("GET", target.control, "/work", timeout=20)
                if code == 200:
                    out += [(service, entry) for entry in json.loads(text)]
        return out


def cpu_seconds(pid):
    """Processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def manifest(classes, callers, limits=None):
    """classes: (service, name, importance, idempotent, timeout_ms);
    callers: (name, party)."""
    lines = []
    if limits:
        lines.append("[limits]")
        lines += [f"{key} = {json.dumps(value)}"
                  for key, value in limits.items()]
    for name, party in callers:
        lines += ["[[callers]]", f'name = "{name}"', f'party = "{party}"']
    for service in sorted({entry[0] for entry in classes}):
        lines += ["[[services]]", f'name = "{service}"']
    for service, name, importance, idempotent, timeout in classes:
        lines += ["[[classes]]", f'service = "{service}"', f'name = "{name}"',
                  f"importance = {importance}",
                  f"idempotent = {json.dumps(idempotent)}",
                  f"timeout_ms = {timeout}"]
    return "\n".join(lines) + "\n"


def run_load(spec, work, name):
    """Runs the load tool; returns its figures and the outcome by request."""
    spec_path = Path(work) / f"{name}.json"
    ids_path = Path(work) / f"{name}.ids"
    spec_path.write_text(json.dumps(spec))
    done = subprocess.run(
        [str(BENCH), "load", "--spec", str(spec_path), "--ids", str(ids_path)],
        capture_output=True, text=True, check=False,
        timeout=spec.get("duration_s", 5) + 60)
    if done.returncode != 0:
        raise FleetError(f"load tool failed: {done.stderr}")
    ids = dict(line.split(" ", 1)
               for line in ids_path.read_text().splitlines())
    return json.loads(done.stdout), ids

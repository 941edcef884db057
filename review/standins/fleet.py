"""A small deployment on loopback addresses: proxies as separate processes,
the platform's store, targets and clients as stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import http1
from store import Store
from target import Target

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Exit codes of a case; run.sh translates them, as the interpreter exits with 1
# when it fails.
HELD, NOT_RUN, BROKEN = 0, 2, 3
GRACE_S = 6
TOUCH_S = 3
DRAIN_S = 2.5


class NotRun(Exception):
    """The case could not be run; says why."""


class Record:
    """Writes one line of JSON for each event to a file."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, event, **fields):
        line = {"at": round(time.monotonic() - self.start, 3), "event": event}
        self.file.write(json.dumps({**line, **fields}) + "\n")
        self.file.flush()


_reserved = []
# Below the ports that the kernel gives to outgoing connections; plays side by
# side use different ones.
_FIRST_PORT = 12000 + os.getpid() % 30 * 600
_PORTS = range(_FIRST_PORT, _FIRST_PORT + 600)


def free_address():
    """Reserves a free port: the socket stays bound until release_addresses()."""
    for port in random.sample(_PORTS, 200):
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        _reserved.append(sock)
        return f"127.0.0.1:{port}"
    raise NotRun("no free port")


def release_addresses():
    while _reserved:
        _reserved.pop().close()


class Machine:
    """A sidecar machine: a proxy and the target beside it."""

    def __init__(self, fleet, name, service, zone, region):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.region = region
        self.outbound = free_address()
        self.ready = free_address()
        self.control = free_address()
        self.peer = free_address()
        self.app = free_address()
        self.store_address = None
        self.process = None
        self.log = None
        self.target = None

    def settings(self):
        """Fills in the template of the deploy file."""
        fields = {
            "node": self.name, "region": self.region, "zone": self.zone,
            "service": self.service, "appAddr": self.app,
            "listen.outbound": self.outbound, "listen.ready": self.ready,
            "listen.control": self.control, "ip": "127.0.0.1",
            "internalPorts.0": self.peer.rsplit(":", 1)[1],
            "platform.address": self.store_address,
            "bounds.graceS": str(GRACE_S),
        }
        text = (ROOT / self.fleet.role["template"]).read_text()
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise NotRun(f"the template has an unknown field: {text}")
        return text

    async def start(self):
        path = self.fleet.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        words = self.fleet.role["run"].split()
        if not (ROOT / words[0]).exists():
            raise NotRun(f"{words[0]} is not built")
        variables = {k: v for k, v in os.environ.items()
                     if k in ("PATH", "HOME", "LANG")}
        variables["AMARANTHGAP_BOOT"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=variables, stdout=self.log, stderr=self.log)
        self.fleet.record("proxy-started", machine=self.name,
                          process=self.process.pid)

    def send_signal(self, number):
        self.fleet.record("signal", machine=self.name,
                          signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.send_signal(number)
            await self.process.wait()

    async def is_ready(self):
        if self.process.returncode is not None:
            raise NotRun(f"{self.name} ended with {self.process.returncode}")
        answer = await http1.call(self.ready, "GET", "/v1/ready")
        return answer is not None and answer.status == 200

    async def metric(self, name):
        answer = await http1.call(self.ready, "GET", "/metrics")
        for line in (answer.body.decode() if answer else "").splitlines():
            if line.split(" ")[0].split("{")[0] == name:
                return float(line.rsplit(" ", 1)[1])
        return None


class Fleet:
    def __init__(self, folder):
        self.case = pathlib.Path(folder).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(self.case / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.machines = []
        self.routes = []
        self.services = []
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.version = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.record("case", trouble=self.trouble)

    def machine(self, service, zone="z1", region="r1"):
        name = f"sidecar-{zone}-{len(self.machines) + 1}"
        machine = Machine(self, name, service, zone, region)
        self.machines.append(machine)
        return machine

    def route(self, prefix, service, kind="safe", timeout_ms=5000, attempts=2,
              priority=1):
        self.routes.append({
            "name": prefix.strip("/"), "match": {"prefix": prefix},
            "routeType": kind, "priority": priority, "aimMs": timeout_ms // 2,
            "action": {"service": service, "timeoutMs": timeout_ms,
                       "attempts": attempts}})
        if service not in self.services:
            self.services.append(service)

    def configure(self):
        """Writes the next version of the configuration as the operator."""
        self.version += 3
        document = {
            "version": f"{self.version:08x}", "limits": self.limits,
            "listeners": [{"hostname": "host.example",
                           "ruleSet": self.routes}],
            "clusters": [{"name": name, "healthPath": "/health",
                          "maxConnections": 316} for name in self.services]}
        self.store.put("op/config", json.dumps(document).encode())
        self.record("config", version=document["version"])

    async def start(self, target_class=Target, slots=36):
        await self.store.start()
        self.configure()
        release_addresses()
        for it in self.machines:
            it.store_address = await self.store.add_address(it.name)
            await it.start()
        for it in self.machines:
            it.target = target_class(self.record, it.app, it.control)
            await it.target.start(it.service, slots, it.zone)
        for it in self.machines:
            await self.wait_for(it.is_ready, 15, f"{it.name} is ready")

    async def wait_for(self, check, seconds, what):
        end = time.monotonic() + seconds
        while not await check():
            if time.monotonic() > end:
                raise NotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.1)

    async def stop(self):
        for it in self.machines:
            await it.end()
            if it.target:
                it.target.stop_heartbeats()
        for it in self.machines:
            if it.log:
                it.log.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A client's connection to the outbound address of its machine."""

    def __init__(self, record, address, host="host.example"):
        self.record = record
        self.address = address
        self.host = host
        self.reader = None
        self.writer = None

    async def open(self, has_small_windows=False, limit=1 << 24):
        """Small windows are those of a client behind Ethernet; loopback would
        hold megabytes for a client that reads slowly."""
        host, port = self.address.rsplit(":", 1)
        sock = socket.socket()
        sock.setblocking(False)
        if has_small_windows:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1):  # As clients of the pages allow.
            await loop.sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=limit)

    def send(self, number, path, method="GET", body=b"", deadline_ms=6000):
        self.record("sent", id=number, line=f"{method} {path}",
                    deadline_ms=deadline_ms)
        self.writer.write(http1.format_request(method, path, {
            "Host": self.host, "X-Amaranthgap-Request-Id": number,
            "X-Amaranthgap-Deadline-Ms": str(deadline_ms)}, body))

    async def receive(self, number):
        """Returns the response, or None if the connection ended without one
        or with part of one."""
        try:
            answer = await http1.read_message(self.reader)
        except (OSError, asyncio.IncompleteReadError) as end:
            self.record("cut", id=number, detail=type(end).__name__,
                        bytes=len(getattr(end, "partial", b"")))
            return None
        self.record("answered" if answer else "closed", id=number,
                    status=answer.status if answer else None,
                    bytes=len(answer.body) if answer else 0)
        return answer

    def close(self):
        if self.writer:
            self.writer.close()


async def ask(fleet, machine, number, path, **options):
    """Sends one request on a connection of its own."""
    caller = Caller(fleet.record, machine.outbound)
    try:
        await caller.open()
    except (OSError, TimeoutError):
        fleet.record("not-connected", id=number)
        return None
    caller.send(number, path, **options)
    wait = options.get("deadline_ms", 6000) / 1000
    try:
        return await asyncio.wait_for(caller.receive(number), wait)
    except TimeoutError:
        fleet.record("no-answer", id=number)
        return None
    finally:
        caller.close()


def main(folder, case):
    """Runs a case, which returns whether the rule was broken."""
    async def play():
        # The proxies are ended also when the case is.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(110):
                is_broken = await case(fleet)
            fleet.record("end", broken=is_broken)
            print("broken" if is_broken else "held")
            return BROKEN if is_broken else HELD
        except BaseException as problem:
            fleet.record("not-run", detail=repr(problem))
            raise
        finally:
            await fleet.stop()

    sys.stdout.reconfigure(line_buffering=True)
    try:
        code = asyncio.run(play())
    except BaseException as problem:
        print(f"not run: {problem!r}")
        code = NOT_RUN
    sys.exit(code)

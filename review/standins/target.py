"""A target (upstream) beside a proxy, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import socket
import time

import http1

HEARTBEAT_INTERVAL_S = 1.5
_numbers = itertools.count(1)


class Lifetime:
    """One run of a target: it has an id, a start and a service."""

    def __init__(self, service, slots, zone, address, instance=None):
        self.service = service
        self.slots = slots
        self.zone = zone
        self.address = address
        self.instance = instance or f"i-{next(_numbers):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0

    def heartbeat(self, state):
        """Returns the path and the body of the next heartbeat."""
        self.seq += 1
        body = {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldRemainingMs": 0, "seq": self.seq,
                "born": self.born}
        return (f"/v1/instances/{self.instance}/heartbeat",
                json.dumps(body).encode())


class Target:
    """Accepts requests at one address and notes which of them it runs."""

    def __init__(self, record, address, control):
        self.record = record
        self.address = address
        self.control = control
        self.lifetime = None
        self.state = "ready"
        self.server = None
        self.runs = []  # (time, request id, service, caller service).
        self.tasks = set()
        self.connections = set()
        self.beats = None
        self.blocked = []

    async def start(self, service, slots, zone, instance=None):
        host, port = self.address.rsplit(":", 1)
        self.lifetime = Lifetime(service, slots, zone, self.address, instance)
        self.state = "ready"
        for it in self.blocked:
            it.close()
        self.blocked = []
        if self.server is None:
            self.server = await asyncio.start_server(
                self._serve, host, int(port), limit=1 << 24, backlog=1024)
        self.beats = asyncio.create_task(self._beat())
        self.record("target-started", address=self.address, service=service,
                    instance=self.lifetime.instance, born=self.lifetime.born)

    async def fall_silent(self):
        """Ends the lifetime as a machine does that has gone dark: open
        connections stay without an answer, new ones are not established."""
        self.stop_heartbeats()
        self.lifetime = None
        self.server.close()
        self.server = None
        host, port = self.address.rsplit(":", 1)
        blocked = socket.socket()
        blocked.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        blocked.bind((host, int(port)))
        blocked.listen(0)
        self.blocked = [blocked]
        # With its queue full, the kernel drops all further attempts.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.blocked.append(filler)

    def stop_heartbeats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    async def say(self, path, body, timeout=1.0):
        """Sends one call of the discovery interface; returns its status."""
        answer = await http1.call(
            self.control, "POST", path,
            {"Content-Type": "application/json"}, body, timeout)
        return answer.status if answer else None

    async def deregister(self):
        life = self.lifetime
        return await self.say(f"/v1/instances/{life.instance}/deregister",
                              json.dumps({"born": life.born}).encode())

    async def _beat(self):
        while True:
            status = await self.say(*self.lifetime.heartbeat(self.state))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if status == 200 else 0.2)

    def signed(self, request, body):
        return {
            "X-Amaranthgap-Request-Id":
                request.headers.get("x-amaranthgap-request-id", ""),
            "X-Amaranthgap-Response-Signature": f"1.0.0.{len(body)}.0.5e",
            "X-Amaranthgap-Server-Load":
                f"{len(self.tasks)},0,{self.lifetime.slots}",
        }

    async def run(self, request):
        """Returns the body of a success; cases override it."""
        return b"served"

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        life = self.lifetime
        try:
            while (request := await http1.read_message(reader)) is not None:
                if life is not self.lifetime:
                    # It belongs to a target that is gone without a reset.
                    await asyncio.Event().wait()
                await self.handle(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        life = self.lifetime
        expected = request.headers.get("x-amaranthgap-expected-instance")
        number = request.headers.get("x-amaranthgap-request-id", "")
        if expected is not None and expected != life.instance:
            writer.write(http1.format_response(
                421, {"X-Amaranthgap-Request-Id": number,
                      "X-Amaranthgap-Instance-Id": life.instance}))
            return
        caller = request.headers.get("x-amaranthgap-caller-service")
        self.runs.append((time.monotonic(), number, life.service, caller))
        self.record("run", id=number, service=life.service,
                    instance=life.instance, caller=caller,
                    line=request.first_line)
        body = await self.run(request)
        writer.write(http1.format_response(200, self.signed(request, body),
                                           body))
        await writer.drain()
        self.record("target-answered", id=number, bytes=len(body))

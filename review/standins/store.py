"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http1


class Store:
    PAGE_ITEMS = 500

    def __init__(self):
        self.revision = 1
        self.items = {}  # Key -> (value in base64, rev, createdRev, lease).
        self.events = []
        self.leases = {}  # Lease -> (time to live in s, end).
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.address = None
        self.servers = []
        self.rejected = set()
        self.connections = set()
        self.tasks = set()

    async def start(self):
        self.address = await self.add_address("any")
        self.tasks.add(asyncio.create_task(self._expire()))

    async def add_address(self, machine):
        """Returns an address at which one machine calls the store, so that it
        can be turned away alone."""
        server = await asyncio.start_server(
            lambda *streams: self._serve(machine, *streams), "127.0.0.1", 0,
            backlog=1024)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def reject(self, machines):
        """Answers the calls of these machines with 503 from now on, and cuts
        their waiting watches."""
        self.rejected = set(machines)
        for machine, writer in list(self.connections):
            if machine in self.rejected:
                writer.close()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        text = base64.b64encode(value).decode()
        self.items[key] = (text, self.revision, created, lease)
        self._note(self._item(key))

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "removed": True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        value, rev, created, lease = self.items[key]
        return {"key": key, "value": value, "rev": rev, "createdRev": created,
                "lease": lease}

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.delete(key)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    async def _serve(self, machine, reader, writer):
        self.connections.add((machine, writer))
        try:
            while (request := await http1.read_message(reader)) is not None:
                if machine in self.rejected:
                    status, body = 503, {}
                else:
                    status, body = await self._answer(request)
                writer.write(http1.format_response(
                    status, {"Content-Type": "application/json"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard((machine, writer))
            writer.close()

    async def _answer(self, request):
        url = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/v1/kv-key":
            if query["key"] not in self.items:
                return 404, {}
            return 200, {**self._item(query["key"]), "at": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            page = keys[:self.PAGE_ITEMS]
            return 200, {"items": [self._item(k) for k in page],
                         "hasMore": len(keys) > len(page),
                         "at": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl = max(json.loads(request.body)["ttlMs"], 1000)
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl / 1000,
                                            time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlMs": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [e for e in self.events if e["rev"] > after
                      and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get("expectedRev", []):
            rev = self.items[row["key"]][1] if row["key"] in self.items else 0
            if rev != row["rev"]:
                return 412, {"items": [self._item(r["key"])
                                       for r in body["expectedRev"]
                                       if r["key"] in self.items]}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            self.put(put["key"], base64.b64decode(put["value"]),
                     put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.revision}

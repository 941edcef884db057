"""The address of a silent target goes to a target of another service while
requests for the first one wait at the gate of the proxy beside it."""

import asyncio
import pathlib
import random

import fleet as f
from target import Target

REUSE_AFTER_S = 2  # The bound `reuseAfterS`.
ROUTE_TIMEOUT_MS = 5000
WORK_S = 0.088  # As `route-sheet`; the load is just below the capacity.
SLOTS = {"rounds": 10, "tracking": 36}  # As on tapis-armor.
REQUESTS_PER_S = 100
ROUTES = 8  # Of each service.
REPLACEMENTS = 6


class ReplacedTarget(Target):
    async def run(self, request):
        life = self.lifetime
        await asyncio.sleep(WORK_S)
        if life is not self.lifetime:
            await asyncio.Event().wait()  # Its target is gone.
        return b"done"


async def case(fleet):
    rng = random.Random()
    front = fleet.machine("front")
    beside = fleet.machine("rounds", "z2")
    for service in ("tracking", "tracking", "billing", "billing"):
        fleet.machine(service, "z2")
    for service in SLOTS:
        for route in range(ROUTES):
            fleet.route(f"/{service}/{route}/", service, "safe",
                        ROUTE_TIMEOUT_MS)
            fleet.routes[-1]["aimMs"] = 2000
    await fleet.start(ReplacedTarget, SLOTS["rounds"])

    async def is_served():
        answer = await f.ask(fleet, front, "first", "/rounds/0/first")
        return answer is not None and answer.status == 200

    await fleet.wait_for(is_served, 10, "a request is served")
    tasks = set()
    is_sending = True

    async def send_requests():
        number = 0
        while is_sending:
            number += 1
            tasks.add(asyncio.create_task(f.ask(
                fleet, front, f"rounds-{number}",
                f"/rounds/{number % ROUTES}/{number}",
                deadline_ms=ROUTE_TIMEOUT_MS)))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    sender = asyncio.create_task(send_requests())
    target = beside.target
    for _ in range(REPLACEMENTS):
        await asyncio.sleep(3)
        if not fleet.trouble:
            continue
        fleet.record("target-silent", instance=target.lifetime.instance)
        await target.fall_silent()
        await asyncio.sleep(REUSE_AFTER_S + rng.uniform(0.05, 0.6))
        await target.start("tracking", SLOTS["tracking"], "z2")
        await asyncio.sleep(1)
        # The first service gets its address back as a plan would do it.
        target.stop_heartbeats()
        await target.say(*target.lifetime.heartbeat("draining"))
        await asyncio.sleep(f.DRAIN_S)
        await target.deregister()
        await asyncio.sleep(REUSE_AFTER_S)
        await target.start("rounds", SLOTS["rounds"], "z2")
    is_sending = False
    await sender
    await asyncio.gather(*tasks)
    wrong = [run for it in fleet.machines for run in it.target.runs
             if run[1].startswith("rounds-") and run[2] != "rounds"]
    print(f"{len(target.runs)} runs, {len(wrong)} of them by another service")
    fleet.record("judged", wrong=[run[1] for run in wrong])
    return bool(wrong)


f.main(pathlib.Path(__file__).parent, case)

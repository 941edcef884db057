"""A heartbeat of another writer, with a service that is not configured, arrives
at the proxy beside a target."""

import asyncio
import pathlib

import fleet as f
from target import Lifetime

REQUESTS = 60


async def case(fleet):
    front = fleet.machine("front")
    back = fleet.machine("back", "z2")
    fleet.route("/front/", "front", "safe")
    fleet.route("/back/", "back", "non_idempotent")
    await fleet.start()

    async def is_served():
        answer = await f.ask(fleet, front, "first", "/back/first",
                             method="POST")
        return answer is not None and answer.status == 200

    await fleet.wait_for(is_served, 10, "a request is served")
    if fleet.trouble:
        other = Lifetime("elsewhere", 36, "z1", front.app)
        status = await front.target.say(*other.heartbeat("ready"))
        fleet.record("foreign-heartbeat", service=other.service,
                     instance=other.instance, status=status)
    for number in range(REQUESTS):
        await f.ask(fleet, front, f"request-{number}", f"/back/{number}",
                    method="POST")
        await asyncio.sleep(0.1)
    wrong = [run for run in back.target.runs if run[3] != front.service]
    print(f"{len(back.target.runs)} runs, {len(wrong)} with a wrong caller")
    fleet.record("judged", runs=len(back.target.runs), wrong=len(wrong))
    return bool(wrong)


f.main(pathlib.Path(__file__).parent, case)

"""All processes are killed after a target's deregistration was acknowledged;
a heartbeat from before it arrives late, after their restart."""

import asyncio
import pathlib
import signal
import time

import fleet as f

RESTART_DELAY_S = 0.3
LATE_S = 3.5  # "A heartbeat may arrive seconds late."
ASK_FROM_S = 5.0  # All machines are in touch again.
ASK_UNTIL_S = 9.0
SLOTS = 36


async def case(fleet):
    front = fleet.machine("front")
    leaving = fleet.machine("booking")
    staying = fleet.machine("booking", "z2")
    fleet.route("/booking/", "booking", "safe", 2000)
    await fleet.start(slots=SLOTS)

    async def is_served():
        answer = await f.ask(fleet, front, "first", "/booking/first")
        return answer is not None and answer.status == 200

    await fleet.wait_for(is_served, 10, "a request is served")
    for number in range(30):
        await f.ask(fleet, front, f"before-{number}", f"/booking/{number}")
    if not leaving.target.runs:
        raise f.NotRun("no request went to the target that is to leave")

    # The target sends a heartbeat that is delayed on its way, deregisters, and
    # goes on serving, as targets do that never report `draining`.
    target = leaving.target
    target.stop_heartbeats()
    late_heartbeat = target.lifetime.heartbeat("ready")
    fleet.record("heartbeat-sent", instance=target.lifetime.instance)
    status = await target.deregister()
    acknowledged = time.monotonic()
    fleet.record("deregister-answered", status=status)
    if status != 200:
        raise f.NotRun("the deregistration was not acknowledged")

    async def sleep_until(seconds):
        await asyncio.sleep(max(0, acknowledged + seconds - time.monotonic()))

    await sleep_until(0.3)
    if fleet.trouble:
        for it in fleet.machines:
            it.send_signal(signal.SIGKILL)
        for it in fleet.machines:
            await it.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for it in fleet.machines:
            await it.start()
    await sleep_until(LATE_S)
    status = await target.say(*late_heartbeat)
    fleet.record("late-heartbeat-arrived", status=status)
    await sleep_until(ASK_FROM_S)
    begin = time.monotonic()
    number = 0
    while time.monotonic() < acknowledged + ASK_UNTIL_S:
        number += 1
        await f.ask(fleet, front, f"after-{number}", f"/booking/{number}")
        await asyncio.sleep(0.05)
    if not staying.target.runs and not fleet.trouble:
        raise f.NotRun("the other target got no request")
    late_runs = [run for run in target.runs
                 if run[0] > max(begin, acknowledged + f.DRAIN_S)]
    print(f"{number} requests, {len(late_runs)} run by the target that left")
    fleet.record("judged", late=len(late_runs), asked=number)
    return bool(late_runs)


f.main(pathlib.Path(__file__).parent, case)

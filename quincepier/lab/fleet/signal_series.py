"""Series of signals to one front: reloads in quick succession, terminations during them, and restarts."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Any

import msgspec

from quincepier.lab.experiment import MS, SECOND, Fault, Signal

if TYPE_CHECKING:  # an import at run time would be circular
    from quincepier.lab.fleet.processes import FrontProcess

RELOADS = (Signal.RELOAD_SAME, Signal.RELOAD_NEW, Signal.RELOAD_HALF, Signal.RELOAD_WRONG)
ENDS = {Signal.TERM: signal.SIGTERM, Signal.INT: signal.SIGINT}
IDLE_TIMES = (20 * SECOND, 30 * SECOND)  # a new configuration takes one of these for connections


async def play_series(front: FrontProcess, fault: Fault, chance: random.Random) -> None:
    """Send the signals of a fault to a front, and restart the front if one of them ended it."""
    ending: asyncio.Task[None] | None = None
    for step in fault.series:
        if step is Signal.START:
            await _start_anew(front, ending)
            ending = None
        elif step in RELOADS:
            if front.is_serving:
                _write_configuration(front, step, chance)
                front.signal(signal.SIGHUP)
        elif ending is None:
            ending = asyncio.create_task(front.term(ENDS[step]))
        else:
            front.signal(ENDS[step])
        await asyncio.sleep(chance.uniform(0, fault.size) * MS / SECOND)
    if ending is not None:
        starts = front.starts
        await ending
        await asyncio.sleep(fault.lasts)
        if front.starts == starts:
            await front.start()


async def _start_anew(front: FrontProcess, ending: asyncio.Task[None] | None) -> None:
    """Restart a front that was ended, without waiting until it serves."""
    if ending is None:
        return
    starts = front.starts
    await ending
    if front.starts == starts:
        await front.launch()
        front.spawn(front.wait_until_serving())


def _write_configuration(front: FrontProcess, step: Signal, chance: random.Random) -> None:
    """Write the configuration file that the front reads at the next SIGHUP."""
    config: dict[str, Any] = front.first_configuration
    if step is Signal.RELOAD_NEW:
        limits = config["settings"]["limits"] | {"conn_idle": chance.choice(IDLE_TIMES)}
        config = config | {"settings": config["settings"] | {"limits": limits}}
    elif step is Signal.RELOAD_WRONG:
        config = config | {"changelog": 7}
    data = msgspec.json.encode(config)
    if step is Signal.RELOAD_HALF:
        data = data[: chance.randrange(1, len(data))]
    front.configuration.write_bytes(data)

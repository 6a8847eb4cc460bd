"""The end of a process: its tasks are cancelled, whatever they start meanwhile."""

import curio

from netbench import make_core


# Guards against a process that ends with a fault, as tasks that are cancelled start others.
def test_tasks_that_are_started_by_cancelled_ones_are_cancelled_too():
    cancelled = []

    async def work(core, depth):
        try:
            await curio.sleep(60)
        finally:
            cancelled.append(depth)
            if depth:
                await core.spawn(work(core, depth - 1))

    async def main():
        async with make_core() as core:
            for _ in range(3):
                await core.spawn(work(core, 3))
            await curio.sleep(0.01)
        return len(core.tasks)

    assert curio.run(main) == 0
    assert cancelled.count(3) == 3

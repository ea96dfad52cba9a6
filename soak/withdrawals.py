"""Keys that are withdrawn while their callers have transactions open, with no
other fault: nothing of them runs once the withdrawal is in force."""

import asyncio

from callers import Caller
from net import cancel_all
from record import APPLY_SECONDS

CALLER_COUNT = 12
# Several statements of each transaction come after the withdrawal is in force.
STATEMENT_COUNT = 12
PAUSE_SECONDS = 0.8


class PausingCaller(Caller):
    """Runs long transactions, with a pause before each statement."""

    max_operations = 1

    async def run_operation(self):
        self.begin_operation()
        await self.run_statement(
            self.random.choice(["BEGIN", "BEGIN", "BEGIN READ"]))
        read_only = self.random.random() < 0.3
        for _ in range(STATEMENT_COUNT):
            await asyncio.sleep(self.random.uniform(0.5, 1) * PAUSE_SECONDS)
            await self.run_statement("READ 1" if read_only else "WRITE 1 data")
        await self.run_statement("COMMIT")


async def run_withdrawals(testbed):
    """Withdraws the keys of all customers inside transactions."""
    testbed.record.log_event("withdrawals begin")
    callers = [asyncio.create_task(
        PausingCaller(f"w{n}", testbed, f"withdrawals-{n}").run())
        for n in range(CALLER_COUNT)]
    await asyncio.sleep(2 * PAUSE_SECONDS)
    for _ in range(2 * len(testbed.operator.current_keys)):
        await testbed.operator.change_keys()
    await asyncio.sleep(APPLY_SECONDS + 3 * PAUSE_SECONDS)
    await cancel_all(callers)
    testbed.record.log_event("withdrawals have ended")

"""What callers sent and were told, what databases ran, and the promises that
both together must keep."""

import time
from collections import defaultdict, deque

import wire

# A withdrawn key, or a new one, is in force this long after the configuration
# was acknowledged, at instances that nothing has disturbed for as long as
# CALM_SECONDS before.
APPLY_SECONDS = 3
CALM_SECONDS = 7


class Sent:
    """One statement of a caller."""

    def __init__(self, operation, text, runs_as):
        self.operation = operation
        self.text = text
        self.runs_as = runs_as  # (verb, shape, rest), as a database sees it
        self.told = None  # code, or "done"
        self.committed = 0  # times that its effect was committed


class Operation:
    """One attempt of a caller: a statement or a transaction."""

    def __init__(self, caller, customer, key, route, values):
        self.started = time.monotonic()
        self.caller = caller
        self.customer = customer
        self.key = key
        self.route = route
        self.values = dict(values)
        self.counted = False


class Record:
    def __init__(self, log):
        self.log = log
        self.violations = []
        self.sent = {}
        self.runs = {}  # by signature
        self.transactions = {}  # (group, number) -> operation
        self.acknowledged = defaultdict(list)  # group: (time, number, id)
        self.rates = {}  # customer: highest rate of late
        self.spent = defaultdict(deque)  # customer: times of operations
        self.disturbed = defaultdict(float)  # instance: last time
        self.leaving = set()  # keys whose withdrawal was sent
        self.withdrawn = {}  # key: when its withdrawal was acknowledged
        self.added = {}  # key: when it was acknowledged
        self.done = 0
        self.refused = 0
        self.failed = 0

    def event(self, text):
        self.log(f"{time.monotonic():.3f} {text}")

    def violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.event(f"VIOLATION {rule}: {text}")

    def disturb(self, *instances):
        for instance in instances:
            self.disturbed[instance] = time.monotonic()

    # From databases.

    def ran(self, run):
        self.runs[run.signature] = run
        sent = self.sent.get(run.id)
        if sent is None:
            return self.violation("unasked", f"{run.id} {run.text}")
        operation = sent.operation
        if run.text != sent.runs_as:
            self.violation("changed", f"{run.text} for {sent.runs_as}")
        if run.customer != operation.customer:
            self.violation("customer", f"{run.id} as {run.customer}")
        if run.values != operation.values:
            self.violation("values", f"{run.id}: {run.values} for "
                                     f"{operation.values}")
        if run.transaction:
            self._check_transaction(run, operation)
        if not operation.counted:
            operation.counted = True
            self._spend(operation.customer, run.started)

    def _check_transaction(self, run, operation):
        place = (run.endpoint, run.connection, run.transaction)
        owner = self.transactions.setdefault(place, operation)
        if owner is not operation:
            self.violation("mixed", f"{run.id} inside another transaction")

    def _spend(self, customer, now):
        spent = self.spent[customer]
        spent.append(now)
        while spent[0] < now - wire.QUOTA_WINDOW_SECONDS:
            spent.popleft()
        allowed = wire.max_operations_per_window(self.rates[customer])
        if len(spent) > allowed:
            self.violation("rate", f"{customer}: {len(spent)} operations in "
                                   f"{wire.QUOTA_WINDOW_SECONDS} s of "
                                   f"{allowed:.0f}")

    def committed(self, group, commit, writes):
        for write in writes:
            sent = self.sent.get(write)
            if sent is None:
                continue  # Told by ran().
            sent.committed += 1
            if sent.committed > 1:
                self.violation("twice", write)
            if sent.told in wire.NOT_RUN:
                self.violation("refused", f"{write} was told {sent.told}")
        sent = self.sent.get(commit)
        if sent is not None and sent.told is not None:
            self.event(f"{group.name}: {commit} committed late")

    # From callers.

    def told(self, statement, code, group):
        sent = self.sent[statement]
        sent.told = code
        if code in wire.NOT_RUN and sent.committed and (
                statement not in group.rolled_back):
            self.violation("refused", f"{statement} was told {code}, and kept")

    def answered(self, statement, group, rows, signature, own_commit):
        """A read, write or commit was done. Returns the run."""
        sent = self.sent[statement]
        sent.told = "done"
        run = self.runs.get(signature)
        if run is None or run.id != statement:
            return self.violation("mixed", f"{statement} answered {signature}")
        expected = [] if run.text[0] in ("WRITE", "COMMIT") else (
            [f"row-{statement}"])
        if sent.runs_as[0] == "EXECUTE":
            expected = rows
        if rows != expected:
            self.violation("mixed", f"{statement} answered {rows}")
        self._check_age(sent.operation, run, group, own_commit)
        return run

    def _check_age(self, operation, run, group, own_commit):
        kind, staleness = operation.route[1], operation.route[2]
        bound = operation.started - (staleness or 0) / 1000
        needed = [number for at, number, commit
                  in self.acknowledged[group.name]
                  if at < bound and commit not in group.rolled_back]
        if kind == "read_your_writes" and own_commit and (
                own_commit[1] not in group.rolled_back):
            needed.append(own_commit[0])
        if needed and run.log[1] < max(needed):
            self.violation(
                "stale", f"{run.id} {kind} at {run.endpoint} ran on"
                         f" {run.log[1]}, needs {max(needed)}")

    def acknowledge(self, group, number, commit):
        self.acknowledged[group.name].append((time.monotonic(), number, commit))

    def calm(self, instances):
        limit = time.monotonic() - CALM_SECONDS
        return all(self.disturbed[instance] < limit for instance in instances)

    def check_key(self, operation, code, instances):
        """A first statement was answered; instances had a part in it."""
        if not self.calm(instances):
            return
        late = operation.started - APPLY_SECONDS
        if code != "NOAUTH" and self.withdrawn.get(operation.key, late) < late:
            self.violation("withdrawn", f"{operation.key} was answered {code}")
        if code == "NOAUTH" and self.added.get(operation.key, late) < late and (
                operation.key not in self.leaving):
            self.violation("key", f"{operation.key} is refused")

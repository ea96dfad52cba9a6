"""Records what callers sent and received and what databases ran, and checks
both against the guarantees of docs/soak.md."""

import time
from collections import defaultdict, deque

import wire

# The withdrawal or addition of a key is in force this long after the
# configuration was acknowledged, at instances that no fault has disturbed for
# UNDISTURBED_SECONDS before.
APPLY_SECONDS = 3
UNDISTURBED_SECONDS = 7
# A planned stop may drop a statement that it has not passed on for this long.
LOSS_SLACK_SECONDS = 0.2


class SentStatement:
    """One statement that a caller sent, and its result."""

    def __init__(self, operation, text, expected_execution):
        self.operation = operation
        self.text = text
        self.expected_execution = expected_execution  # (verb, shape, rest)
        self.sent_at = time.monotonic()
        self.result = None  # error code, "done", or None without an answer
        self.commit_count = 0  # times that a database committed its effect


class Operation:
    """One operation of a caller: a statement or a transaction."""

    def __init__(self, caller, customer, key, route, values, instances=()):
        self.instances = instances  # those that its answers depend on
        self.started = time.monotonic()
        self.caller = caller
        self.customer = customer
        self.key = key
        self.route = route
        self.values = dict(values)
        self.counted_for_rate = False


class Record:
    """The history of one run and the violations found in it."""

    def __init__(self, log):
        self.log = log
        self.violations = []
        self.sent_statements = {}  # by statement id
        self.executions = {}  # by signature
        # (endpoint, connection, transaction): Operation
        self.transaction_owners = {}
        # group: (time, number in the log, id)
        self.acknowledged_commits = defaultdict(list)
        self.rates = {}  # customer: highest recent rate per second
        self.operation_times = defaultdict(deque)  # by customer
        self.last_disturbed = defaultdict(float)  # instance: time of a fault
        self.withdrawing_keys = set()  # keys whose withdrawal was sent
        self.withdrawn_at = {}  # key: when its withdrawal was acknowledged
        self.added_at = {}  # key: when its addition was acknowledged
        self.cuts = []  # (statement id, entry, seconds without an answer)
        self.completed = 0
        self.refused = 0
        self.failed = 0

    def log_event(self, text):
        self.log(f"{time.monotonic():.3f} {text}")

    def add_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.log_event(f"VIOLATION {rule}: {text}")

    def mark_disturbed(self, *instances):
        for instance in instances:
            self.last_disturbed[instance] = time.monotonic()

    # Called by databases.

    def on_executed(self, execution):
        self.executions[execution.signature] = execution
        sent = self.sent_statements.get(execution.statement_id)
        if sent is None:
            return self.add_violation(
                "unasked", f"{execution.statement_id} {execution.text} ran, but"
                           " no caller sent it")
        operation = sent.operation
        if execution.text != sent.expected_execution:
            self.add_violation(
                "changed", f"{execution.text} ran instead of"
                           f" {sent.expected_execution}")
        if execution.customer != operation.customer:
            self.add_violation(
                "customer", f"{execution.statement_id} ran for"
                            f" {execution.customer}")
        if execution.values != operation.values:
            self.add_violation(
                "values", f"{execution.statement_id} ran with"
                          f" {execution.values} instead of {operation.values}")
        if execution.transaction:
            self._check_transaction(execution, operation)
        late = sent.sent_at - APPLY_SECONDS
        if (self.withdrawn_at.get(operation.key, late) < late
                and self.is_undisturbed(operation.instances)):
            self.add_violation(
                "withdrawn", f"{execution.statement_id} of {operation.key} ran")
        if not operation.counted_for_rate:
            operation.counted_for_rate = True
            self._check_rate(operation.customer, execution.started)

    def _check_transaction(self, execution, operation):
        transaction_key = (execution.endpoint, execution.connection,
                           execution.transaction)
        owner = self.transaction_owners.setdefault(transaction_key, operation)
        if owner is not operation:
            self.add_violation(
                "mixed", f"{execution.statement_id} ran inside the transaction"
                         " of another operation")

    def _check_rate(self, customer, now):
        times = self.operation_times[customer]
        times.append(now)
        while times[0] < now - wire.QUOTA_WINDOW_SECONDS:
            times.popleft()
        limit = wire.max_operations_per_window(self.rates[customer])
        if len(times) > limit:
            self.add_violation(
                "rate", f"{customer}: {len(times)} operations in"
                        f" {wire.QUOTA_WINDOW_SECONDS} s; the limit is"
                        f" {limit:.0f}")

    def on_committed(self, group, commit, writes):
        for write in writes:
            sent = self.sent_statements.get(write)
            if sent is None:
                continue  # on_executed() reports it.
            sent.commit_count += 1
            if sent.commit_count > 1:
                self.add_violation("twice", f"{write} was committed again")
            if sent.result in wire.NOT_RUN:
                self.add_violation(
                    "refused", f"{write} was committed after {sent.result}")
        sent = self.sent_statements.get(commit)
        if sent is not None and sent.result is not None:
            self.log_event(f"{group.name}: {commit} committed after its answer")

    # Called by callers.

    def on_error(self, statement, code, group):
        sent = self.sent_statements[statement]
        sent.result = code
        if code in wire.NOT_RUN and sent.commit_count and (
                statement not in group.rolled_back):
            self.add_violation(
                "refused", f"{statement} was answered {code}, but is committed")

    def on_cut(self, statement, entry, sent_at):
        """A session ended without an answer though only planned stops happen."""
        self.cuts.append((statement, entry, time.monotonic() - sent_at))

    def check_cuts(self):
        """Called once databases have ended the statements that were cut.

        A statement that crosses with the close of its session reaches no
        database, and its session ends at once.
        """
        ran = {execution.statement_id for execution in self.executions.values()}
        for statement, entry, held_seconds in self.cuts:
            if statement in ran or held_seconds > LOSS_SLACK_SECONDS:
                self.add_violation(
                    "cut", f"{statement} at {entry} got no answer after"
                           f" {held_seconds:.3f} s,"
                           f" {'ran' if statement in ran else 'not run'}")

    def on_answered(self, statement, group, rows, signature, own_commit):
        """Checks a successful read, write or commit; returns its execution."""
        sent = self.sent_statements[statement]
        sent.result = "done"
        execution = self.executions.get(signature)
        if execution is None or execution.statement_id != statement:
            return self.add_violation(
                "mixed", f"{statement} got the answer {signature}")
        expected = [] if execution.text[0] in ("WRITE", "COMMIT") else (
            [f"row-{statement}"])
        if sent.expected_execution[0] == "EXECUTE":
            expected = rows
        if rows != expected:
            self.add_violation("mixed", f"{statement} got the rows {rows}")
        self._check_freshness(sent.operation, execution, group, own_commit)
        return execution

    def _check_freshness(self, operation, execution, group, own_commit):
        kind, max_staleness_ms = operation.route[1], operation.route[2]
        bound = operation.started - (max_staleness_ms or 0) / 1000
        needed = [number for acknowledged_at, number, commit
                  in self.acknowledged_commits[group.name]
                  if acknowledged_at < bound
                  and commit not in group.rolled_back]
        if kind == "read_your_writes" and own_commit and (
                own_commit[1] not in group.rolled_back):
            needed.append(own_commit[0])
        if needed and execution.log_position[1] < max(needed):
            self.add_violation(
                "stale", f"{execution.statement_id} {kind} at"
                         f" {execution.endpoint} ran at position"
                         f" {execution.log_position[1]}, needs {max(needed)}")

    def on_commit_acknowledged(self, group, number, commit):
        self.acknowledged_commits[group.name].append(
            (time.monotonic(), number, commit))

    def is_undisturbed(self, instances):
        limit = time.monotonic() - UNDISTURBED_SECONDS
        return all(self.last_disturbed[instance] < limit
                   for instance in instances)

    def check_key(self, operation, code, instances):
        """Checks an answer against the changes of the operation's key.

        instances: those on which the answer depends.
        """
        if not self.is_undisturbed(instances):
            return
        late = operation.started - APPLY_SECONDS
        if code != "NOAUTH" and (
                self.withdrawn_at.get(operation.key, late) < late):
            self.add_violation(
                "withdrawn", f"{operation.key} was answered {code}")
        if code == "NOAUTH" and (
                self.added_at.get(operation.key, late) < late) and (
                    operation.key not in self.withdrawing_keys):
            self.add_violation("key", f"valid {operation.key} was refused")

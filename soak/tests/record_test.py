"""Guards against a soak that passes because a check misses its violation."""

import os
import sys
import time
import unittest

sys.path[:0] = [os.path.join(os.path.dirname(__file__), ".."),
                os.path.join(os.path.dirname(__file__), "..", "..",
                             "platform", "tests")]
import wire  # noqa: E402
from databases import Execution  # noqa: E402
from record import (  # noqa: E402
    APPLY_SECONDS, Operation, Record, SentStatement)


class Group:
    name = "alpha"

    def __init__(self):
        self.rolled_back = set()


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.record = Record(lambda line: None)
        self.record.rates["customer0"] = 1
        self.group = Group()

    def send(self, statement, text=("WRITE", None, "1 data"), values=(),
             route=("a", "read_your_writes", 2500, "alpha")):
        operation = Operation("c", "customer0", "key", route, dict(values))
        self.record.sent_statements[statement] = SentStatement(operation, "",
                                                               text)
        return operation

    def execute(self, statement, text=("WRITE", None, "1 data"),
                customer="customer0", log_position=(1, 1), connection=1,
                transaction=0):
        execution = Execution(statement, text, customer, "alpha-0", connection)
        execution.log_position, execution.signature = (
            log_position, f"s-{statement}")
        execution.transaction = transaction
        self.record.on_executed(execution)

    def violated_rules(self):
        return [text.split(":")[0] for text in self.record.violations]

    def test_a_correct_write_is_no_violation(self):
        self.send("a")
        self.execute("a")
        self.record.on_committed(self.group, "a", ["a"])
        self.record.on_answered("a", self.group, [], "s-a", None)
        self.assertEqual(self.violated_rules(), [])

    def test_a_statement_that_a_planned_stop_cut(self):
        now = time.monotonic()
        for statement in ("crossed", "held", "ran"):
            self.send(statement)
        self.record.on_cut("crossed", "i0", now)
        self.record.on_cut("held", "i0", now - 0.3)
        self.record.on_cut("ran", "i0", now)
        self.execute("ran")
        self.record.check_cuts()
        self.assertEqual(self.violated_rules(), ["cut", "cut"])

    def test_a_statement_that_no_caller_sent(self):
        self.execute("a")
        self.assertEqual(self.violated_rules(), ["unasked"])

    def test_a_statement_with_another_text_customer_and_values(self):
        self.send("a", values={"mode": "1"})
        self.execute("a", text=("WRITE", None, "2 data"), customer="other")
        self.assertEqual(self.violated_rules(),
                         ["changed", "customer", "values"])

    def test_a_statement_inside_the_transaction_of_another_operation(self):
        self.send("a")
        self.send("b")
        self.execute("a", transaction=7)
        self.execute("b", transaction=7)
        self.assertEqual(self.violated_rules(), ["mixed"])

    def test_a_statement_of_a_withdrawn_key(self):
        self.record.withdrawn_at["key"] = time.monotonic()
        self.send("in time")
        self.execute("in time")
        self.assertEqual(self.violated_rules(), [])
        self.record.withdrawn_at["key"] -= APPLY_SECONDS + 0.1
        self.send("late")
        self.execute("late")
        self.assertEqual(self.violated_rules(), ["withdrawn"])

    def test_a_write_that_takes_effect_twice(self):
        self.send("a")
        self.record.on_committed(self.group, "a", ["a"])
        self.record.on_committed(self.group, "a", ["a"])
        self.assertEqual(self.violated_rules(), ["twice"])

    def test_a_refused_write_that_is_committed(self):
        self.send("a")
        self.record.on_committed(self.group, "a", ["a"])
        self.record.on_error("a", "BUSY", self.group)
        self.send("b")
        self.record.on_error("b", "ABORTED", self.group)
        self.record.on_committed(self.group, "b", ["b"])
        self.assertEqual(self.violated_rules(), ["refused", "refused"])

    def test_an_answer_to_another_statement(self):
        self.send("a")
        self.send("b")
        self.execute("b")
        self.record.on_answered("a", self.group, [], "s-b", None)
        self.assertEqual(self.violated_rules(), ["mixed"])

    def test_a_read_that_misses_its_sessions_own_commit(self):
        self.send("a", text=("READ", None, "1"))
        self.execute("a", text=("READ", None, "1"), log_position=(1, 4))
        self.record.on_answered("a", self.group, ["row-a"], "s-a", (5, "w"))
        self.assertEqual(self.violated_rules(), ["stale"])

    def test_a_primary_read_that_misses_an_acknowledged_commit(self):
        self.record.on_commit_acknowledged(self.group, 5, "w")
        time.sleep(0.001)
        self.send("a", text=("READ", None, "1"),
                  route=("p", "primary", None, "alpha"))
        self.execute("a", text=("READ", None, "1"), log_position=(1, 4))
        self.record.on_answered("a", self.group, ["row-a"], "s-a", None)
        self.assertEqual(self.violated_rules(), ["stale"])

    def test_a_read_need_not_see_a_rolled_back_commit(self):
        self.group.rolled_back.add("w")
        self.send("a", text=("READ", None, "1"))
        self.execute("a", text=("READ", None, "1"), log_position=(1, 4))
        self.record.on_answered("a", self.group, ["row-a"], "s-a", (5, "w"))
        self.assertEqual(self.violated_rules(), [])

    def test_a_customer_above_its_rate(self):
        for number in range(int(wire.max_operations_per_window(1)) + 1):
            self.send(f"a{number}")
            self.execute(f"a{number}")
        self.assertEqual(self.violated_rules(), ["rate"])

    def test_a_withdrawn_key_that_is_still_accepted(self):
        operation = self.send("a")
        self.record.withdrawn_at["key"] = time.monotonic() - 60
        self.record.check_key(operation, "done", ["i0"])
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.violated_rules(), ["withdrawn"])

    def test_a_new_key_that_is_still_refused(self):
        operation = self.send("a")
        self.record.added_at["key"] = time.monotonic() - 60
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.violated_rules(), ["key"])
        # A withdrawal may be in force before it is acknowledged.
        self.record.withdrawing_keys.add("key")
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.violated_rules(), ["key"])

    def test_a_disturbed_instance_may_apply_changes_late(self):
        operation = self.send("a")
        self.record.withdrawn_at["key"] = time.monotonic() - 60
        self.record.mark_disturbed("i0")
        self.record.check_key(operation, "done", ["i0"])
        self.assertEqual(self.violated_rules(), [])


if __name__ == "__main__":
    unittest.main()

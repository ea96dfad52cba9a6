"""Guards against a soak that passes because its checks see nothing."""

import os
import sys
import time
import unittest

sys.path[:0] = [os.path.join(os.path.dirname(__file__), ".."),
                os.path.join(os.path.dirname(__file__), "..", "..",
                             "platform", "tests")]
import wire  # noqa: E402
from databases import Run  # noqa: E402
from record import Operation, Record, Sent  # noqa: E402


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
        self.record.sent[statement] = Sent(operation, "", text)
        return operation

    def run_one(self, statement, text=("WRITE", None, "1 data"),
                customer="customer0", log=(1, 1), connection=1,
                transaction=0):
        run = Run(statement, text, customer, "alpha-0", connection)
        run.log, run.signature = log, f"s-{statement}"
        run.transaction = transaction
        self.record.ran(run)

    def rules(self):
        return [text.split(":")[0] for text in self.record.violations]

    def test_a_kept_promise_is_no_violation(self):
        self.send("a")
        self.run_one("a")
        self.record.committed(self.group, "a", ["a"])
        self.record.answered("a", self.group, [], "s-a", None)
        self.assertEqual(self.rules(), [])

    def test_a_statement_that_nobody_sent(self):
        self.run_one("a")
        self.assertEqual(self.rules(), ["unasked"])

    def test_a_changed_statement_another_customer_and_other_values(self):
        self.send("a", values={"mode": "1"})
        self.run_one("a", text=("WRITE", None, "2 data"), customer="other")
        self.assertEqual(self.rules(), ["changed", "customer", "values"])

    def test_a_statement_inside_another_transaction(self):
        self.send("a")
        self.send("b")
        self.run_one("a", transaction=7)
        self.run_one("b", transaction=7)
        self.assertEqual(self.rules(), ["mixed"])

    def test_a_write_that_takes_effect_twice(self):
        self.send("a")
        self.record.committed(self.group, "a", ["a"])
        self.record.committed(self.group, "a", ["a"])
        self.assertEqual(self.rules(), ["twice"])

    def test_a_write_that_was_refused_and_kept(self):
        self.send("a")
        self.record.committed(self.group, "a", ["a"])
        self.record.told("a", "BUSY", self.group)
        self.send("b")
        self.record.told("b", "ABORTED", self.group)
        self.record.committed(self.group, "b", ["b"])
        self.assertEqual(self.rules(), ["refused", "refused"])

    def test_an_answer_of_another_statement(self):
        self.send("a")
        self.send("b")
        self.run_one("b")
        self.record.answered("a", self.group, [], "s-b", None)
        self.assertEqual(self.rules(), ["mixed"])

    def test_a_read_without_the_own_commit(self):
        self.send("a", text=("READ", None, "1"))
        self.run_one("a", text=("READ", None, "1"), log=(1, 4))
        self.record.answered("a", self.group, ["row-a"], "s-a", (5, "w"))
        self.assertEqual(self.rules(), ["stale"])

    def test_a_read_of_a_primary_route_without_an_earlier_commit(self):
        self.record.acknowledge(self.group, 5, "w")
        time.sleep(0.001)
        self.send("a", text=("READ", None, "1"),
                  route=("p", "primary", None, "alpha"))
        self.run_one("a", text=("READ", None, "1"), log=(1, 4))
        self.record.answered("a", self.group, ["row-a"], "s-a", None)
        self.assertEqual(self.rules(), ["stale"])

    def test_a_commit_that_was_rolled_back_is_not_missed(self):
        self.group.rolled_back.add("w")
        self.send("a", text=("READ", None, "1"))
        self.run_one("a", text=("READ", None, "1"), log=(1, 4))
        self.record.answered("a", self.group, ["row-a"], "s-a", (5, "w"))
        self.assertEqual(self.rules(), [])

    def test_more_operations_than_the_rate_allows(self):
        for number in range(int(wire.max_operations_per_window(1)) + 1):
            self.send(f"a{number}")
            self.run_one(f"a{number}")
        self.assertEqual(self.rules(), ["rate"])

    def test_a_withdrawn_key_that_is_served_long_after(self):
        operation = self.send("a")
        self.record.withdrawn["key"] = time.monotonic() - 60
        self.record.check_key(operation, "done", ["i0"])
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.rules(), ["withdrawn"])

    def test_a_new_key_that_is_refused_long_after(self):
        operation = self.send("a")
        self.record.added["key"] = time.monotonic() - 60
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.rules(), ["key"])
        # Its withdrawal was sent, and may be in force before the answer.
        self.record.leaving.add("key")
        self.record.check_key(operation, "NOAUTH", ["i0"])
        self.assertEqual(self.rules(), ["key"])

    def test_a_disturbed_instance_may_be_late(self):
        operation = self.send("a")
        self.record.withdrawn["key"] = time.monotonic() - 60
        self.record.disturb("i0")
        self.record.check_key(operation, "done", ["i0"])
        self.assertEqual(self.rules(), [])


if __name__ == "__main__":
    unittest.main()

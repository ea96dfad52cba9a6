"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case
could not run."""

import asyncio
import os
import signal
import sys
import traceback

from fleet import CannotRun, Record

MAX_SECONDS = 100


def run_case(folder, coroutine):
    """coroutine(record, trouble) returns the violations of the rule.

    It hands its fleet over in record.fleet, so that it is always ended.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.note(f"trouble: {'yes' if trouble else 'no'}")
    record.fleet = None
    # A test that is stopped from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        violations = asyncio.run(asyncio.wait_for(
            coroutine(record, trouble), MAX_SECONDS))
        for violation in violations:
            record.note(f"BROKEN {violation}")
        for violation in violations[:20]:
            print(violation)
        print(f"{len(violations)} violations")
        code = 1 if violations else 0
    except CannotRun as error:
        record.note(f"the case could not run: {error}")
        print(f"could not run: {error}")
    except BaseException:  # An error of the test says nothing of the rule.
        record.note(traceback.format_exc())
        traceback.print_exc()
    finally:
        if record.fleet is not None:
            record.fleet.end()
            if os.environ.get("KEEP"):
                print(f"logs: {record.fleet.folder}")
            else:
                record.fleet.remove_folder()
        record.note(f"exit code {code}")
        record.close()
    sys.stdout.flush()
    os._exit(code)

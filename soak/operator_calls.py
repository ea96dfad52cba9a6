"""The simulated operator: submits configurations, retries until a controller
acknowledges them, and reads them back."""

import asyncio
import json
import random
import time

import wire
from net import http_call

CUSTOMER_RATE = 60  # operations per second


class Operator:
    def __init__(self, testbed, seed):
        self.testbed = testbed
        self.record = testbed.record
        self.random = random.Random(seed)
        self.last_version = 0
        self.acknowledged_version = 0
        self.sent_configurations = {}  # version: text
        self.current_keys = {f"customer{n}": f"key-{n}-0" for n in range(3)}
        self.lock = asyncio.Lock()

    def configuration_text(self, version):
        customers = [(name, [key], CUSTOMER_RATE)
                     for name, key in self.current_keys.items()]
        return wire.configuration(version, self.testbed.routes,
                                  list(self.testbed.groups), customers, 40)

    async def change_keys(self):
        """Replaces the key of one customer."""
        async with self.lock:
            self.last_version += self.random.randint(1, 3)
            version = self.last_version
            customer = self.random.choice(list(self.current_keys))
            old_key = self.current_keys[customer]
            new_key = f"key-{customer[-1]}-{version}"
            self.current_keys[customer] = new_key
            text = self.configuration_text(version)
            self.sent_configurations[version] = text
            self.record.withdrawing_keys.add(old_key)
        if await self.submit(version, text):
            now = time.monotonic()
            self.record.withdrawn_at.setdefault(old_key, now)
            self.record.added_at.setdefault(new_key, now)

    async def submit(self, version, text):
        """Retries until a controller acknowledges; returns whether one did."""
        while not self.testbed.stopping:
            status, _, body = await self.call_control("POST", wire.PUT_PATH,
                                                      text)
            if status == 200:
                self.acknowledged_version = max(self.acknowledged_version,
                                                version)
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.add_violation(
                    "configuration",
                    f"version {version} was refused: {status} {body}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def call_control(self, method, path, body=""):
        """Calls a random controller and follows redirects to the leader."""
        host = self.random.choice(self.testbed.controllers).host
        port = self.testbed.control_port
        for _ in range(3):
            status, headers, text = await http_call(host, port, method, path,
                                                    body)
            if status != 307:
                return status, headers, text
            address = headers["location"].split("/")[2]
            host, _, port = address.rpartition(":")
            port = int(port)
        return 0, {}, ""

    async def poll_configuration(self):
        """Checks the configuration repeatedly until the run stops."""
        while not self.testbed.stopping:
            await self.check_configuration()
            await asyncio.sleep(self.random.uniform(0.2, 1))

    async def check_configuration(self):
        """Checks the configuration that a controller returns.

        It must be one that was sent, and not be older than the last
        acknowledged one. Returns whether a controller answered.
        """
        expected_version = self.acknowledged_version
        status, _, text = await self.call_control("GET", wire.GET_PATH)
        if status != 200:
            return False
        configuration = json.loads(text)
        if configuration["version"] < expected_version:
            self.record.add_violation(
                "configuration",
                f"read version {configuration['version']} after version"
                f" {expected_version} was acknowledged")
        if configuration != json.loads(
                self.sent_configurations[configuration["version"]]):
            self.record.add_violation(
                "configuration",
                f"version {configuration['version']} differs from the one that"
                " was sent")
        return True

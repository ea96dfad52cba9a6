"""The operator: sends configurations to any controller, again until one is
acknowledged, and reads them back."""

import asyncio
import json
import random
import time

import wire
from net import http_call

RATE = 60


class Operator:
    def __init__(self, world, seed):
        self.world = world
        self.record = world.record
        self.random = random.Random(seed)
        self.version = 0
        self.acknowledged = 0
        self.sent = {}  # version: text
        self.key_of = {f"customer{n}": f"key-{n}-0" for n in range(3)}
        self.lock = asyncio.Lock()

    def text(self, version):
        customers = [(name, [key], RATE) for name, key in self.key_of.items()]
        return wire.configuration(version, self.world.routes,
                                  list(self.world.groups), customers, 40)

    async def change_keys(self):
        async with self.lock:
            self.version += self.random.randint(1, 3)
            version = self.version
            customer = self.random.choice(list(self.key_of))
            old = self.key_of[customer]
            new = f"key-{customer[-1]}-{version}"
            self.key_of[customer] = new
            text = self.text(version)
            self.sent[version] = text
            self.record.leaving.add(old)
        if await self.put(version, text):
            now = time.monotonic()
            self.record.withdrawn.setdefault(old, now)
            self.record.added.setdefault(new, now)

    async def put(self, version, text):
        """True once a controller has acknowledged the version."""
        while not self.world.stopping:
            status, _, body = await self.call("POST", wire.PUT_PATH, text)
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
            if status in (400, 409, 412, 413, 422):
                self.record.violation("configuration",
                                      f"{version} refused: {status} {body}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def call(self, method, path, body=""):
        host = self.random.choice(self.world.controllers).host
        port = self.world.control_port
        for _ in range(3):
            status, headers, text = await http_call(host, port, method, path,
                                                    body)
            if status != 307:
                return status, headers, text
            address = headers["location"].split("/")[2]
            host, _, port = address.rpartition(":")
            port = int(port)
        return 0, {}, ""

    async def watch(self):
        """Reads must never be older than what was acknowledged before."""
        while not self.world.stopping:
            await self.read()
            await asyncio.sleep(self.random.uniform(0.2, 1))

    async def read(self):
        """True when the newest configuration came."""
        before = self.acknowledged
        status, _, text = await self.call("GET", wire.GET_PATH)
        if status != 200:
            return False
        got = json.loads(text)
        if got["version"] < before:
            self.record.violation(
                "configuration", f"read {got['version']} after {before}")
        if got != json.loads(self.sent[got["version"]]):
            self.record.violation(
                "configuration", f"{got['version']} is not what was sent")
        return True
